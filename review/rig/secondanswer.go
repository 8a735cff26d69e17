package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["7"] = secondAnswers }

// lateSecond is how long behind its answer a spoilt server writes a second one: some milliseconds.
const lateSecond = 12 * time.Millisecond

// secondAnswers has one of ten answers followed by a second one, some milliseconds later on the same connection. Each
// client must be served with what a server made for its request.
func secondAnswers(r *rig) error {
	var made atomic.Int64
	s, _, _, err := r.small(settings(publish, rebuild, status), func(a *arrival) {
		time.Sleep(20 * time.Millisecond)
		plain(a, "made for "+a.id())
		if made.Add(1)%10 == 0 && r.trouble {
			time.AfterFunc(lateSecond, func() {
				r.note("%s writes a second answer for %s", a.server.name, a.id())
				plain(a, "second answer for "+a.id())
			})
		}
	}, nil)
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	var served atomic.Int64
	for k := range 8 {
		group.Go(func() {
			c, err := s.dial()
			if err != nil {
				return
			}
			defer c.Close()
			for n, end := 0, time.Now().Add(10*time.Second); time.Now().Before(end); n++ {
				q := request{class: publish, id: fmt.Sprintf("client-%d-%d", k, n), timeout: 500, body: []byte("a small body")}
				p := r.ask(c, q, time.Duration(q.timeout)*time.Millisecond+answerSlack)
				if p.status == 0 {
					return
				}
				if p.status == 200 && p.err == nil {
					served.Add(1)
					if string(p.body) != "made for "+q.id && string(p.body) != "second answer for "+q.id {
						r.fail("%s was served with %q", q.id, p.body)
					}
				}
				time.Sleep(rand.N(10 * time.Millisecond))
			}
		})
	}
	group.Wait()
	r.note("%d requests were served", served.Load())
	if served.Load() == 0 {
		return fmt.Errorf("%w: no request was served", errUnplayable)
	}
	return nil
}
