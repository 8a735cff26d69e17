package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["10"] = endless }

// endless has servers begin answers in time that never end: 16 bytes come every 100 ms. Each request must have its final
// answer, or a connection that ends and so shows that it is not whole, half a second after its time at the latest.
func endless(r *rig) error {
	s, _, _, err := r.small(settings(publish, rebuild, status), func(a *arrival) {
		fmt.Fprint(a.conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for n := 0; n < 3 || r.trouble; n++ {
			if _, err := fmt.Fprint(a.conn, "10\r\n0123456789abcdef\r\n"); err != nil {
				r.note("%s: the answer to %s was ended: %v", a.server.name, a.id(), err)
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
		fmt.Fprint(a.conn, "0\r\n\r\n")
	}, nil)
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	for n, k := range []class{publish, rebuild, status} {
		group.Go(func() {
			c, err := s.dial()
			if err != nil {
				r.note("the sidecar can't be reached: %v", err)
				return
			}
			defer c.Close()
			q := request{class: k, id: fmt.Sprintf("client-%d", n), key: "key", timeout: k.deadline}
			if k.effect != "free" {
				q.body = []byte("a small body")
			}
			p := r.ask(c, q, 8*time.Second)
			if late := p.took - time.Duration(q.timeout)*time.Millisecond; late > answerSlack {
				r.fail("%s (%s) had no final answer %v after its time, only %d bytes that go on", q.id, k.name, late.Round(time.Millisecond), len(p.body))
			}
		})
	}
	group.Wait()
	return nil
}
