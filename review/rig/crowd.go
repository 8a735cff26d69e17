package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["6"] = crowd }

const (
	crowds     = 8
	crowdSize  = 400 // 3,200 connections in all
	crowdStays = 2 * time.Second
)

// crowd has 3,200 half-written connections arrive, 400 at a time, while one client goes on with its requests.
// Each of its requests must have a final answer, half a second after its time at the latest.
func crowd(r *rig) error {
	s, _, _, err := r.small(settings(publish, rebuild, status), func(a *arrival) {
		time.Sleep(10 * time.Millisecond)
		plain(a, "done "+a.id())
	}, func(s *sidecar) { s.memoryMB, s.sockets = 64, 256 })
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	defer group.Wait()
	if r.trouble {
		group.Go(func() { r.halfWritten(s) })
	}
	var c net.Conn
	answered, unheard := 0, 0
	for n, end := 0, time.Now().Add(14*time.Second); time.Now().Before(end); n++ {
		q := request{class: publish, id: fmt.Sprintf("good-%d", n), timeout: 500, body: []byte("a small body")}
		var p reply
		for range 2 { // one that crosses the end of its connection is sent once more on a new one
			if c == nil {
				if c, err = s.dial(); err != nil {
					break
				}
			}
			p = r.ask(c, q, time.Duration(q.timeout)*time.Millisecond+answerSlack)
			if p.status > 0 || !p.closed {
				break
			}
			c.Close()
			c = nil
		}
		switch {
		case err != nil:
			r.note("the sidecar can't be reached: %v", err)
			unheard++
		case p.status > 0 && p.err == nil:
			answered++
		case errors.Is(p.err, os.ErrDeadlineExceeded):
			r.fail("%s, written whole, had no answer %v after its time", q.id, answerSlack)
			r.lookAfter(s)
			return nil
		default: // a crowd may have new connections shut unread
			unheard++
		}
		if c != nil && p.status != 200 {
			c.Close()
			c = nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.note("the client had %d answers, and %d requests that were turned back unheard", answered, unheard)
	if !s.alive() {
		r.fail("the sidecar's process has ended")
	}
	if answered == 0 {
		return fmt.Errorf("%w: no request was answered", errUnplayable)
	}
	return nil
}

// halfWritten makes the crowd: connections with a head and half of a body, which stay for a while and go.
func (r *rig) halfWritten(s *sidecar) {
	var failed atomic.Int64
	var group sync.WaitGroup
	for k := range crowds {
		r.note("%d half-written connections arrive", crowdSize)
		for n := range crowdSize {
			group.Go(func() {
				c, err := s.dial()
				if err != nil {
					failed.Add(1)
					return
				}
				defer c.Close()
				q := request{class: publish, id: fmt.Sprintf("half-%d-%d", k, n), timeout: 500, body: make([]byte, 48<<10)}
				_ = c.SetDeadline(time.Now().Add(crowdStays))
				_, err = io.WriteString(c, q.head())
				if err == nil {
					_, err = c.Write(q.body[:24<<10])
				}
				if err == nil {
					var b [512]byte
					_, _ = c.Read(b[:]) // until the sidecar ends it, or for as long as it stays
				}
			})
		}
		time.Sleep(time.Second)
	}
	group.Wait()
	r.note("the last of the %d half-written connections has gone; %d of them did not come up", crowds*crowdSize, failed.Load())
}

// lookAfter notes what becomes of a process that no longer answers, until after the crowd.
func (r *rig) lookAfter(s *sidecar) {
	for range 10 {
		time.Sleep(time.Second)
		r.note("the process: alive %v, %.0f MB of %d, console says %q to ready", s.alive(), s.memory(), s.memoryMB, s.call("ready"))
	}
	c, err := s.dial()
	if err != nil {
		r.note("after the crowd, the sidecar can't be reached: %v", err)
		return
	}
	defer c.Close()
	r.ask(c, request{class: publish, id: "after-the-crowd", timeout: 500, body: []byte("a small body")}, 2*time.Second)
}
