package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	smallMemoryMB = 32        // the least memory that a sidecar has
	smallSockets  = 256       // the fewest descriptors
	slowRequests  = 80        // open at once; a third of the descriptors are 85
	bodySize      = 200 << 10 // bytes of a request's body
	answerSize    = 8 << 20   // bytes of an answer
	slowRate      = 64_000    // bytes a second that a slow client reads
	slowStart     = 25 * time.Millisecond
	watchTime     = 25 * time.Second // how long slow clients are watched
)

// residentMB returns the resident memory of a process in MiB.
func residentMB(pid int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0, fmt.Errorf("statm is %q", raw)
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20), err
}

// answerLong reads requests and answers each with a long answer in chunks.
func answerLong(p *play) func(u *upstream, c net.Conn) {
	piece := strings.Repeat("x", 32<<10)
	return func(u *upstream, c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			n, err := io.Copy(io.Discard, req.Body)
			if err != nil {
				return
			}
			p.rec.log("%s: runs %s with a body of %d bytes", u.name, req.Header.Get("X-Request-ID"), n)
			time.Sleep(15 * time.Millisecond)
			_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for n := 0; n < answerSize && err == nil; n += len(piece) {
				_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
			}
			if err == nil {
				_, err = io.WriteString(c, "0\r\n\r\n")
			}
			if err != nil {
				return
			}
		}
	}
}

// pacedReader reads at most at a rate, in bytes a second.
type pacedReader struct {
	io.Reader
	rate  int
	total int
	began time.Time
	done  <-chan struct{} // closed once there is no need to be slow
}

func (r *pacedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b[:min(len(b), 8<<10)])
	if r.total == 0 {
		r.began = time.Now()
	}
	r.total += n
	if r.rate > 0 {
		select {
		case <-time.After(time.Until(r.began.Add(time.Duration(r.total) * time.Second / time.Duration(r.rate)))):
		case <-r.done:
		}
	}
	return n, err
}

// slowClients: clients read long answers slowly, on as many connections as clients may hold for requests. The platform
// ends a sidecar that has more memory than its limit.
func slowClients(p *play) int {
	var servers []*upstream
	for i := range 4 {
		u, err := newUpstream(fmt.Sprintf("s%d", i+1), "regina-north", answerLong(p))
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
	s, err := startSidecar(p.root, p.dir, limits{smallMemoryMB, smallSockets}, d, p.rec)
	if err != nil {
		p.say("%v", err)
		return failed
	}
	defer s.kill()

	// The platform: over memory_mb the sidecar is killed.
	peak, over := 0.0, false
	stop, watched, killed := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		for next := time.Now(); ; {
			now, err := residentMB(s.cmd.Process.Pid)
			if err != nil {
				return
			}
			peak = max(peak, now)
			if time.Now().After(next) {
				p.rec.log("platform: the sidecar has %.1f MiB", now)
				next = time.Now().Add(time.Second)
			}
			if now > smallMemoryMB {
				over = true
				p.rec.log("platform: the sidecar has %.1f MiB, over its limit of %d: it is killed", now, smallMemoryMB)
				s.signal(syscall.SIGKILL)
				close(killed) // the clients read what has already come at once
				return
			}
			select {
			case <-time.After(10 * time.Millisecond):
			case <-stop:
				return
			}
		}
	}()

	var mu sync.Mutex
	var wg sync.WaitGroup
	whole, lost, other := 0, 0, 0

	body := strings.Repeat("b", bodySize)
	for i := range slowRequests {
		time.Sleep(slowStart)
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("%016x", 0x1c1f03aa00000000+i)
			c, err := net.Dial("tcp", s.address)
			if err != nil {
				p.rec.log("client: %s: %v", id, err)
				return
			}
			defer c.Close()
			r := &pacedReader{Reader: c, done: killed}
			if p.trouble {
				r.rate = slowRate
			}
			p.rec.log("client: sends rebuild %s", id)
			if _, err := io.WriteString(c, head("rebuild", id, tenants[i%len(tenants)].name, 780*time.Millisecond, bodySize)+body); err != nil {
				p.rec.log("client: %s: %v", id, err)
				return
			}
			a := readAnswer(bufio.NewReaderSize(r, 8<<10))
			p.rec.log("client: %s answered %v", id, a)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status == http.StatusOK && a.whole:
				whole++
			case !a.whole:
				lost++
			default:
				other++
			}
		}()
	}
	answered := make(chan struct{})
	go func() { wg.Wait(); close(answered) }()
	select {
	case <-answered:
	case <-time.After(watchTime):
		p.rec.log("clients: the watch ends")
		close(stop)
		<-watched
		if !over {
			p.say("%d requests, answers still under way; the sidecar had %.1f MiB at the most, limit %d", slowRequests, peak, smallMemoryMB)
			return held
		}
		<-answered
	}
	p.say("%d requests: %d answered whole, %d refused or failed, %d cut off; the sidecar had %.1f MiB at the most, limit %d", slowRequests, whole, other, lost, peak, smallMemoryMB)
	switch {
	case over:
		return broken
	case whole < slowRequests/2:
		p.say("too few were served to tell")
		return failed
	}
	return held
}
