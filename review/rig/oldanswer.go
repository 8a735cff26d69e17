package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["8"] = oldAnswers }

// oldAnswers has one of four servers word its answers as HTTP/1.0 with a transfer coding, which nobody can read for sure.
// A client that is served with 200 must have the body that a server made for it. Without trouble the answers say HTTP/1.1.
func oldAnswers(r *rig) error {
	var spoilt atomic.Int64
	s, _, _, err := r.small(settings(publish, rebuild, status), func(a *arrival) {
		time.Sleep(10 * time.Millisecond)
		made := "made for " + a.id()
		if a.server.name != "s-1" {
			plain(a, made)
			return
		}
		version := "HTTP/1.1"
		if r.trouble {
			version = "HTTP/1.0"
			spoilt.Add(1)
		}
		fmt.Fprintf(a.conn, "%s 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", version, len(made), made)
		a.conn.Close()
	}, nil)
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	var served atomic.Int64
	for n, k := range []class{publish, rebuild, status} {
		group.Go(func() {
			c, err := s.dial()
			if err != nil {
				r.note("the sidecar can't be reached: %v", err)
				return
			}
			defer c.Close()
			for m := range 40 {
				q := request{class: k, id: fmt.Sprintf("client-%d-%d", n, m), key: fmt.Sprintf("key-%d-%d", n, m), timeout: k.deadline}
				if k.effect != "free" {
					q.body = []byte("a small body")
				}
				p := r.ask(c, q, time.Duration(q.timeout)*time.Millisecond+answerSlack)
				if p.status == 200 && p.err == nil {
					served.Add(1)
					if made := "made for " + q.id; string(p.body) != made {
						r.fail("%s (%s) was served with %q, its server had made %q", q.id, k.name, p.body, made)
					}
				}
				if p.status == 0 || p.err != nil {
					c.Close()
					if c, err = s.dial(); err != nil {
						return
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	r.note("%d of 120 requests were served, %d answers were spoilt", served.Load(), spoilt.Load())
	if served.Load() == 0 || r.trouble && spoilt.Load() == 0 {
		return fmt.Errorf("%w: no request was served, or no answer spoilt", errUnplayable)
	}
	return nil
}
