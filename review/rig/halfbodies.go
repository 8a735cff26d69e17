package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["7"] = halfBodies }

const (
	halfBodiesRate = 200              // connections a second
	halfBodiesFor  = 10 * time.Second // 2,000 connections in all
	halfBodiesSent = 64_000           // bytes of a body of 64 KiB
)

// halfBodies has two thousand connections arrive, each with a request whose body lacks its end, while one client goes on
// with its requests. The process must stay within its memory, or the platform kills it.
func halfBodies(r *rig) error {
	s, _, _, err := r.small(settings(publish, rebuild, status), func(a *arrival) {
		time.Sleep(10 * time.Millisecond)
		plain(a, "done "+a.id())
	}, func(s *sidecar) { s.memoryMB, s.sockets = 32, 256 })
	if err != nil {
		return err
	}
	r.note("at rest the process has %.1f MB of %d", s.memory(), s.memoryMB)
	end := time.Now().Add(halfBodiesFor)
	var group sync.WaitGroup
	var opened, failed atomic.Int64
	if r.trouble {
		group.Go(func() {
			tick := time.NewTicker(time.Second / halfBodiesRate)
			defer tick.Stop()
			for ; time.Now().Before(end) && s.alive(); <-tick.C {
				n := opened.Add(1)
				group.Go(func() {
					c, err := s.dial()
					if err != nil {
						failed.Add(1)
						return
					}
					defer c.Close()
					q := request{class: publish, id: fmt.Sprintf("half-%d", n), timeout: 500, body: make([]byte, 64<<10)}
					_ = c.SetDeadline(time.Now().Add(crowdStays))
					if _, err := c.Write(append([]byte(q.head()), q.body[:halfBodiesSent]...)); err == nil {
						var b [512]byte
						_, _ = c.Read(b[:]) // until the sidecar ends it, or for as long as it stays
					}
				})
			}
		})
	}
	answered, unanswered := 0, 0
	group.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			c, err := s.dial()
			if err != nil {
				unanswered++
				time.Sleep(100 * time.Millisecond)
				continue
			}
			p := r.ask(c, request{class: publish, id: fmt.Sprintf("good-%d", n), timeout: 500, body: []byte("a small body")}, 500*time.Millisecond+answerSlack)
			if p.status > 0 && p.err == nil {
				answered++
			} else if !errors.Is(p.err, os.ErrDeadlineExceeded) || !s.alive() {
				unanswered++
			}
			c.Close()
			time.Sleep(50 * time.Millisecond)
		}
	})
	most, noted := 0.0, time.Now()
	for time.Now().Before(end) && s.alive() {
		m := s.memory()
		most = max(most, m)
		if time.Since(noted) > 500*time.Millisecond {
			noted = time.Now()
			r.note("the process has %.1f MB of %d; %d half-written connections so far", m, s.memoryMB, opened.Load())
		}
		if m > float64(s.memoryMB) {
			r.fail("the process has %.1f MB, its limit is %d, and the platform kills it", m, s.memoryMB)
			_ = s.process.Process.Kill()
			<-s.exited
		}
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	r.note("at most %.1f MB of %d; %d half-written connections, %d of them did not come up; the client had %d answers, and %d requests without one", most, s.memoryMB, opened.Load(), failed.Load(), answered, unanswered)
	if len(r.broken) == 0 && !s.alive() {
		r.fail("the sidecar's process has ended")
	}
	if answered == 0 && len(r.broken) == 0 {
		return fmt.Errorf("%w: no request was answered", errUnplayable)
	}
	return nil
}
