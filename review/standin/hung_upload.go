package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	uploadTimeout = 800 * time.Millisecond
	lateLimit     = 500*time.Millisecond + 50*time.Millisecond // how long after its time an answer may come, and the slack on sockets
	serverCount   = 4
	largestUpload = 1800_000 // bytes of a body
	uploadStep    = 60_000
	uploadSizes   = 29
	uploads       = uploadSizes * serverCount // each size as often as there are servers, as they take turns
	uploadPause   = 6 * time.Millisecond
	answerWait    = 12 * time.Second
)

// unacknowledged returns how many written bytes the other side's machine has not received, or -1.
func unacknowledged(c net.Conn) int {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return -1
	}
	n := -1
	_ = raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	if err != nil {
		return -1
	}
	return n
}

// hungUpload: one server of four hangs, so that it takes connections and reads no more of what comes on them.
func hungUpload(p *play) int {
	release := make(chan struct{})
	defer close(release)
	serve := func(hangs bool) func(u *upstream, c net.Conn) {
		return func(u *upstream, c net.Conn) {
			defer c.Close()
			r := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				id := req.Header.Get("X-Request-ID")
				if hangs {
					p.rec.log("%s: hangs at %s", u.name, id)
					<-release
					return
				}
				n, err := io.Copy(io.Discard, req.Body)
				if err != nil {
					return
				}
				p.rec.log("%s: runs %s with a body of %d bytes", u.name, id, n)
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
			}
		}
	}
	var servers []*upstream
	for i := range serverCount {
		u, err := newUpstream(fmt.Sprintf("s%d", i+1), "regina-north", serve(i == 0 && p.trouble))
		if err != nil {
			p.say("%v", err)
			return failed
		}
		servers = append(servers, u)
	}
	d, err := newDiscovery(servers...)
	if err != nil {
		p.say("%v", err)
		return failed
	}
	s, err := startSidecar(p.root, p.dir, limits{128, 1024}, d, p.rec)
	if err != nil {
		p.say("%v", err)
		return failed
	}
	defer s.kill()

	var mu sync.Mutex
	arrived, inTime, late, longest := 0, 0, 0, time.Duration(0)
	upload := func(n int) {
		id, size := fmt.Sprintf("%016x", 0x1d1f03aa00000000+n), largestUpload-n/serverCount*uploadStep
		c, err := net.Dial("tcp", s.address)
		if err != nil {
			p.rec.log("client: %s: %v", id, err)
			return
		}
		defer c.Close()
		p.rec.log("client: sends rebuild %s with a body of %d bytes", id, size)
		taken := make(chan time.Time, 1) // when the sidecar's machine had the last byte
		go func() {
			_, err := io.WriteString(c, head("rebuild", id, tenants[n%len(tenants)].name, uploadTimeout, int64(size)))
			piece := make([]byte, 64<<10)
			for left := size; left > 0 && err == nil; {
				var m int
				m, err = c.Write(piece[:min(left, len(piece))])
				left -= m
			}
			if err != nil {
				p.rec.log("client: %s is not sent whole: %v", id, err)
				return
			}
			for unacknowledged(c) > 0 {
				time.Sleep(time.Millisecond)
			}
			if unacknowledged(c) == 0 {
				taken <- time.Now()
				p.rec.log("client: the last byte of %s has arrived", id)
			}
		}()
		_ = c.SetReadDeadline(time.Now().Add(answerWait))
		a := readAnswer(bufio.NewReader(c))
		p.rec.log("client: %s answered %v", id, a)
		mu.Lock()
		defer mu.Unlock()
		select {
		case at := <-taken:
			arrived++
			after := a.at.Sub(at) - uploadTimeout
			if after <= lateLimit && a.status != 0 {
				inTime++
				return
			}
			late, longest = late+1, max(longest, after)
			p.rec.log("BROKEN: %s was answered %v after its time", id, after.Round(time.Millisecond))
		default:
			p.rec.log("client: %s does not count: its last byte had not arrived", id)
		}
	}
	var wg sync.WaitGroup
	for n := range uploads {
		time.Sleep(uploadPause)
		wg.Add(1)
		go func() {
			defer wg.Done()
			upload(n)
		}()
	}
	wg.Wait()
	p.say("%d uploads, %d had arrived whole before their answer: %d answered in time, %d later than 0.55 s after their time or never (up to %v after)",
		uploads, arrived, inTime, late, longest.Round(time.Millisecond))
	switch {
	case late > 0:
		return broken
	case arrived < uploads/2:
		p.say("too few arrived to tell")
		return failed
	}
	return held
}
