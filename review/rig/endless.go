package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["9"], cases["10"] = endless, slowBox }

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

// slowBox has a server become nine times slower amid a long answer that it has begun in time. The sidecar must pass on
// what the server still gives.
func slowBox(r *rig) error {
	const (
		piece  = 64 << 10
		pieces = 16 // 1 MiB
		pause  = 80 * time.Millisecond
		slowAt = 10 // the first piece that takes nine times as long
	)
	s, _, _, err := r.small(settings(publish, rebuild, status), func(a *arrival) {
		fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", piece*pieces)
		for n := range pieces {
			if n >= slowAt && r.trouble {
				time.Sleep(8 * pause)
			}
			time.Sleep(pause)
			if _, err := a.conn.Write(make([]byte, piece)); err != nil {
				r.note("%s could not give piece %d of the answer to %s: %v", a.server.name, n, a.id(), err)
				return
			}
			r.note("%s gave piece %d of the answer to %s", a.server.name, n, a.id())
		}
	}, nil)
	if err != nil {
		return err
	}
	c, err := s.dial()
	if err != nil {
		return err
	}
	defer c.Close()
	p := r.ask(c, request{class: publish, id: "client-1", timeout: 500, body: []byte("a small body")}, 20*time.Second)
	time.Sleep(time.Second) // the server finds out
	if p.status == 200 && p.err != nil {
		r.fail("client-1 had %d of %d bytes, and the connection was ended %v after its request, though the server still gave", len(p.body), piece*pieces, p.took.Round(time.Millisecond))
	} else if p.status != 200 {
		return fmt.Errorf("%w: %v", errUnplayable, p)
	}
	return nil
}
