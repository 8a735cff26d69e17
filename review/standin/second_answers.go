package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	secondAnswerDelay = 9 * time.Millisecond                   // between an answer and the same answer again, as the server sends them
	spoiltShare       = 3                                      // one of so many answers of the spoiling server is sent twice
	fullShare         = 4                                      // one of so many requests is turned away as the server's queue is full
	linkDelay         = 6 * time.Millisecond                   // one way between the machine rooms
	linkJitter        = 0.29                                   // of that, up or down
	latestSecond      = secondAnswerDelay + 2*linkDelay*29/100 // behind the first, as the sidecar's machine gets them
	requestsPerSecond = 160
	playTime          = 25 * time.Second
)

// link delivers what a server writes after the time that the network takes, in order.
type link struct {
	queue chan packet
	last  time.Time
	mu    sync.Mutex
}

type packet struct {
	at     time.Time
	text   []byte
	second bool // a second answer
}

func newLink(c net.Conn) *link {
	l := &link{queue: make(chan packet, 64)}
	go func() {
		var before time.Time
		for p := range l.queue {
			time.Sleep(time.Until(p.at))
			if p.second && time.Since(before) > latestSecond {
				continue // this machine is too slow to keep to the limits
			}
			before = time.Now()
			_, _ = c.Write(p.text) // fails if the sidecar has closed the connection
		}
		c.Close()
	}()
	return l
}

// oneWay returns how long a message takes from one room to the other.
func oneWay() time.Duration {
	return time.Duration(float64(linkDelay) * (1 + linkJitter*(2*rand.Float64()-1)))
}

// send sends a message over the network.
func (l *link) send(text string, second bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := time.Now().Add(oneWay())
	if at.Before(l.last) {
		at = l.last
	}
	l.last = at
	l.queue <- packet{at, []byte(text), second}
}

// ledger holds which servers have run each request.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]string
}

func (l *ledger) ran(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], server)
}

func (l *ledger) of(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.runs[id]...)
}

// secondAnswers: one server of four, all of them in the other machine room, sends some of its answers a second time.
func secondAnswers(p *play) int {
	book := &ledger{runs: make(map[string][]string)}
	serve := func(spoils bool) func(u *upstream, c net.Conn) {
		return func(u *upstream, c net.Conn) {
			l, r := newLink(c), bufio.NewReader(c)
			defer close(l.queue)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					return
				}
				id := req.Header.Get("X-Request-ID")
				time.Sleep(oneWay())
				text := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
				if rand.IntN(fullShare) > 0 {
					book.ran(id, u.name)
					p.rec.log("%s: runs %s", u.name, id)
					time.Sleep(time.Duration(11+rand.IntN(8)) * time.Millisecond)
					body := "done " + id
					text = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				}
				p.rec.log("%s: answers %s with %.12q", u.name, id, text)
				l.send(text, false)
				if spoils && p.trouble && rand.IntN(spoiltShare) == 0 {
					time.Sleep(secondAnswerDelay)
					p.rec.log("%s: answers %s with %.12q a second time", u.name, id, text)
					l.send(text, true)
				}
			}
		}
	}
	var servers []*upstream
	for i := range 4 {
		u, err := newUpstream(fmt.Sprintf("s%d", i+1), "saskatoon-east", serve(i == 0))
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
	s, err := startSidecar(p.root, p.dir, limits{64, 384}, d, p.rec)
	if err != nil {
		p.say("%v", err)
		return failed
	}
	defer s.kill()

	var mu sync.Mutex
	var idle []net.Conn
	readers := make(map[net.Conn]*bufio.Reader)
	served, foreign, sent := 0, 0, []string{}
	var wg sync.WaitGroup
	begin := time.Now()
	for i := 0; time.Since(begin) < playTime; i++ {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / requestsPerSecond))
		id := fmt.Sprintf("%016x", 0x1b1f03aa00000000+i)
		sent = append(sent, id)
		wg.Add(1)
		go func() {
			defer wg.Done()
			mu.Lock()
			var c net.Conn
			if len(idle) > 0 {
				c, idle = idle[len(idle)-1], idle[:len(idle)-1]
			}
			mu.Unlock()
			if c == nil {
				var err error
				if c, err = net.Dial("tcp", s.address); err != nil {
					return
				}
				mu.Lock()
				readers[c] = bufio.NewReader(c)
				mu.Unlock()
			}
			mu.Lock()
			r := readers[c]
			mu.Unlock()
			p.rec.log("client: sends publish %s", id)
			_, _ = io.WriteString(c, head("publish", id, tenants[i%len(tenants)].name, 480*time.Millisecond, 8)+"package.")
			a := readAnswer(r)
			p.rec.log("client: %s answered %v %q", id, a, a.text)
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK && a.whole {
				served++
				if a.text != "done "+id {
					foreign++
					p.rec.log("BROKEN: %s was served with %q", id, a.text)
				}
			}
			if a.err == io.EOF && a.keep && a.status != 0 {
				idle = append(idle, c)
			} else {
				c.Close()
			}
		}()
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	twice := 0
	for _, id := range sent {
		if runs := book.of(id); len(runs) > 1 {
			twice++
			p.rec.log("BROKEN: publish %s ran %d times, at %v", id, len(runs), runs)
		}
	}
	p.say("%d publish requests, %d served; served with the answer to another request: %d; run more than once: %d", len(sent), served, foreign, twice)
	switch {
	case foreign+twice > 0:
		return broken
	case served < len(sent)/4:
		p.say("too few were served to tell")
		return failed
	}
	return held
}
