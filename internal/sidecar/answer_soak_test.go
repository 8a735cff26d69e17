package sidecar

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	answerSoakSeed = flag.Uint64("answer.seed", 1, "seed of TestAnswerSoak")
	answerSoakTime = flag.Duration("answer.time", 20*time.Second, "length of TestAnswerSoak")
)

const (
	answerSoakClients   = 24
	answerSoakServers   = 12
	answerSoakPlain     = 10                     // of so many answers one is not plain
	answerSoakInterval  = 150 * time.Millisecond // between two requests of a client
	answerSoakCrowd     = 300                    // connections at a time
	answerSoakLongest   = 5 * time.Second
	answerSoakSlowest   = 64_000                 // bytes a second of a long answer that must come whole
	answerSoakMaxPause  = 250 * time.Millisecond // between two pieces of an answer that must come whole
	answerSoakPaceSlack = 250 * time.Millisecond // behind the end of an answer's time by its pace
)

// answerFramings are the heads of answers with status 200, by how they end. sound is false if they leave open which bytes are the body.
var answerFramings = []struct {
	head   string
	length bool // the length follows
	chunks bool
	sound  bool
}{
	{"HTTP/1.1 200 OK\r\nContent-Length: ", true, false, true},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked", false, true, true},
	{"HTTP/1.1 200 OK\r\nConnection: close", false, false, true},
	{"HTTP/1.0 200 OK\r\nContent-Length: ", true, false, true},
	{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked", false, true, false},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked", false, true, false},
}

// How an answer ends at its server.
const (
	endsWhole = iota
	endsCut
	neverEnds // it begins anew behind its end
	stalls
	answerEnds
)

// answerPlan is what a server does with a request. It depends on nothing but the seed and the request.
type answerPlan struct {
	framing int // index into answerFramings
	end     int
	delay   time.Duration // before the head
	size    int           // bytes of the body
	piece   int           // bytes at a time
	pause   time.Duration // between two pieces
}

// planAnswer draws the plan of a request's answer: at the ends of each range more often than amid it.
func planAnswer(id string) answerPlan {
	d := seededDraws(*answerSoakSeed, "server", id)
	if d.IntN(answerSoakPlain) > 0 {
		return answerPlan{delay: d.duration(30 * time.Millisecond), size: 100, piece: 100}
	}
	p := answerPlan{
		delay: d.duration(300 * time.Millisecond),
		size:  []int{1, 60, 1000, 30_000, maxBufferedBody, maxBufferedBody + 1, 200_000}[d.IntN(7)],
		piece: []int{1, 16, 1000, 20_000, 1 << 20}[d.IntN(5)],
		pause: []time.Duration{0, 10, 50, 100, 290, 400}[d.IntN(6)] * time.Millisecond,
	}
	if d.IntN(2) == 0 {
		p.framing = d.IntN(len(answerFramings))
	}
	if d.IntN(2) == 0 {
		p.end = d.IntN(answerEnds)
	}
	return p
}

// body returns the body that a server makes for a request.
func (p answerPlan) body(id string) string {
	return (id + strings.Repeat("#", p.size))[:max(p.size, len(id))]
}

// duration returns how long a server takes for an answer that it ends.
func (p answerPlan) duration(id string) time.Duration {
	return p.delay + time.Duration(len(p.body(id))/p.piece)*p.pause
}

// mustComeWhole reports whether a client that has 200 must have all of the answer: it is sound and whole, and it ends in time, or
// it is long and keeps the pages' pace.
func (p answerPlan) mustComeWhole(id string, timeout time.Duration) bool {
	if p.end != endsWhole || !answerFramings[p.framing].sound || p.pause > answerSoakMaxPause {
		return false
	}
	inTime := p.duration(id) < timeout
	onPace := p.pause == 0 || float64(p.piece)/p.pause.Seconds() >= answerSoakSlowest
	return inTime || p.size > maxBufferedBody && onPace && p.delay < timeout/2
}

// answerSoak is a play of answers of all paces, sizes, framings and ends, beside crowds of connections.
type answerSoak struct {
	t       *testing.T
	sidecar *testSidecar

	mu      sync.Mutex
	runs    map[string]int // how often servers have received each request; one more if it is faulty
	results map[string]int
}

// serve answers a request by its plan.
func (s *answerSoak) serve(c net.Conn, r stubRequest) bool {
	id := r.Header.Get("X-Request-ID")
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	p := planAnswer(id)
	time.Sleep(p.delay)
	framing, body := answerFramings[p.framing], p.body(id)
	head := framing.head
	if framing.length {
		head += fmt.Sprint(len(body))
	}
	if _, err := io.WriteString(c, head+"\r\n\r\n"); err != nil {
		return false
	}
	for again := true; again; again = p.end == neverEnds && !framing.length {
		if !p.write(c, body, framing.chunks) {
			return false
		}
	}
	switch {
	case p.end == stalls:
		_, _ = io.Copy(io.Discard, c) // until the sidecar closes the connection
	case p.end == endsCut && !framing.length && !framing.chunks:
		_ = c.(*net.TCPConn).SetLinger(0) // makes the close a reset, as any other close would be the answer's end
	}
	if framing.chunks && p.end == endsWhole {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
	return framing.length && p.end == endsWhole
}

// write writes a body, or all but its last byte if it is not to be whole. It returns false if the connection has ended.
func (p answerPlan) write(c net.Conn, body string, chunks bool) bool {
	if p.end != endsWhole {
		body = body[:len(body)-1]
	}
	for piece := range slices.Chunk([]byte(body), p.piece) {
		if chunks {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := c.Write(piece); err != nil {
			return false
		}
		time.Sleep(p.pause)
	}
	if len(body) == 0 {
		time.Sleep(max(p.pause, time.Millisecond))
	}
	return true
}

// count counts a request that ended in a way.
func (s *answerSoak) count(way string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results[way]++
}

// request sends a request on a new connection and checks its answer.
func (s *answerSoak) request(id string) {
	c, err := net.Dial("tcp", strings.TrimPrefix(s.sidecar.url, "http://"))
	if err != nil {
		s.t.Error(err)
		return
	}
	defer c.Close()
	d := seededDraws(*answerSoakSeed, "client", id)
	timeout := 100*time.Millisecond + d.duration(600*time.Millisecond)
	head := strings.Replace(requestHead(id, "Content-Length: 2"), "20000m", fmt.Sprintf("%dm", timeout.Milliseconds()), 1)
	body := "hi"
	switch d.IntN(8) {
	case 0:
		head = strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1)
	case 1:
		head, body = s.faultyRequest(d, id)
	}
	if _, err := io.WriteString(c, head+body); err != nil {
		s.count("turned back")
		return
	}
	start := time.Now()
	_ = c.SetReadDeadline(start.Add(answerSoakLongest)) // fails only on a closed connection
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.count("no answer")
		if late := time.Since(start) - timeout; late > answerSlack {
			s.t.Errorf("%s: no answer %v behind its time", id, late)
		}
		return
	}
	s.checkAnswer(id, timeout, start, res)
}

// faultyRequest draws a request whose framing is faulty, which must run nowhere.
func (s *answerSoak) faultyRequest(d draws, id string) (head, body string) {
	names := slices.Sorted(maps.Keys(requestsByFraming))
	names = slices.DeleteFunc(names, func(name string) bool { return requestsByFraming[name].served })
	c := requestsByFraming[names[d.IntN(len(names))]]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++ // so that a run counts as a second one
	return strings.Replace(requestHead(id, c.framing), " HTTP/1.1", " "+c.version, 1), c.rest
}

// checkAnswer reads an answer whose head has come. It must be the one that was made for the request, or visibly broken, and must
// end in time unless it is long.
func (s *answerSoak) checkAnswer(id string, timeout time.Duration, start time.Time, res *http.Response) {
	p, first := planAnswer(id), time.Since(start)
	body, err := io.ReadAll(res.Body)
	took := time.Since(start)
	s.count(fmt.Sprintf("%d, whole %v", res.StatusCode, err == nil))
	byPace := first + time.Duration(len(body))*time.Second/minBodyRate + answerSoakPaceSlack
	if long := int64(len(body)) > maxBufferedBody || res.ContentLength > maxBufferedBody; !long && took > max(timeout+answerSlack, byPace) {
		s.t.Errorf("%s: an answer of %d bytes goes on until %v behind its time: %+v", id, len(body), took-timeout, p)
	}
	if res.StatusCode != http.StatusOK {
		return
	}
	whole := err == nil
	if whole && (!answerFramings[p.framing].sound || string(body) != p.body(id)) {
		s.t.Errorf("%s: %d bytes passed for the whole answer: %+v", id, len(body), p)
	}
	if !whole && p.mustComeWhole(id, timeout) {
		s.t.Errorf("%s: cut off after %d bytes and %v, time %v, error %v: %+v", id, len(body), took, timeout, err, p)
	}
}

// Answers of all paces, sizes, framings and ends, beside crowds of all kinds: each client has the answer that was made for it or
// sees that it is broken, in time unless it is long, and no request runs twice. Runs longer with -answer.time, and draws another
// play with -answer.seed.
func TestAnswerSoak(t *testing.T) {
	s := &answerSoak{t: t, runs: make(map[string]int), results: make(map[string]int)}
	var addresses []string
	for range answerSoakServers {
		addresses = append(addresses, newStub(t, s.serve).address)
	}
	s.sidecar = startSidecar(t, func(_, settings map[string]any) {
		entry := settings["classes"].([]any)[1].(map[string]any)
		entry["aim_ms"], entry["hard_limit_ms"] = 150.0, 700.0
	}, addresses...)
	end := time.Now().Add(*answerSoakTime)
	var all sync.WaitGroup
	for client := range answerSoakClients {
		all.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				s.request(fmt.Sprintf("a%d-%d", client, n))
				time.Sleep(answerSoakInterval)
			}
		})
	}
	all.Go(func() {
		kinds := slices.Sorted(maps.Keys(crowdKinds))
		for rng := rand.New(rand.NewPCG(*answerSoakSeed, 1)); time.Now().Before(end); time.Sleep(2 * crowdStay) {
			kind := crowdKinds[kinds[rng.IntN(len(kinds))]]
			s.sidecar.sendCrowds(answerSoakCrowd, kind.pieces, kind.pause)
		}
	})
	all.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.runs {
		if n > 1 {
			t.Errorf("%s was received %d times, or is faulty and was received %d times", id, n, n-1)
		}
	}
	for _, way := range []string{"200, whole true", "200, whole false", "400, whole true"} {
		if s.results[way] == 0 {
			t.Errorf("no request ended with %s, so that the play shows little", way)
		}
	}
	t.Logf("seed %d, %v: %v", *answerSoakSeed, *answerSoakTime, s.results)
}
