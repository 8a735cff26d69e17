package lab

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"arrowgw/internal/world"
)

// ServeHTTP serves a probe (/alive) or a request, by the protocol between sidecars and servers.
func (u *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*conn)
	at := u.servers.clock.now()
	if r.URL.Path == "/alive" {
		u.servers.mu.Lock()
		u.advance()
		u.model.Probe(at)
		u.update()
		u.servers.mu.Unlock()
		return
	}
	id := r.Header.Get("X-Request-ID")
	if id == "" {
		http.Error(w, "no X-Request-ID", http.StatusNotFound)
		return
	}
	c.onCut.Store(nil)
	body, err := io.ReadAll(http.MaxBytesReader(w, io.NopCloser(u.pacedRequestBody(r)), maxBodyBytes))
	if err != nil {
		return // the body is incomplete, so the request is not processed
	}
	try, index := u.servers.history.recordReached(id, Reached{Server: u.number, Sidecar: c.sidecar, At: at, Verdict: world.Rejected, Told: parseTimeout(r.Header.Get("X-Timeout")), Port: portOf(c.RemoteAddr())})
	if try == nil {
		http.Error(w, "an id that no client sent", http.StatusBadRequest)
		return
	}
	if sum := r.URL.Query().Get("sum"); sum != "" && sum != bodyHash(body) {
		h := u.servers.history
		h.addFinding(&h.unknownRequests, "at %v server %d received a body of %d bytes with request %s that differs from what the client sent", at, u.number, len(body), id)
	}
	u.servers.arrivals[u.number].add(at, 1)
	work, err := time.ParseDuration(r.URL.Query().Get("work"))
	if err != nil {
		http.Error(w, "no work", http.StatusBadRequest)
		return
	}
	ended, job, verdict := u.submit(work, keyHash(r.Header.Get("X-Route-Key")), keyHash(r.Header.Get("Idempotency-Key")))
	u.servers.history.recordVerdict(try, index, verdict, "")
	step := func(format string, args ...any) {
		u.servers.history.recordStep(try, index, u.servers.clock.now(), format, args...)
	}
	cut := func(why string) { step("%s", why) }
	c.onCut.Store(&cut)
	switch verdict {
	case world.Rejected:
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case world.Down:
		panic(http.ErrAbortHandler) // the process has died
	}
	select {
	case e, alive := <-ended:
		if !alive {
			step("dropped as its server went down")
			panic(http.ErrAbortHandler)
		}
		if e.Failed {
			step("answered 500")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		u.answer(w, r, try, index)
	case <-r.Context().Done(): // the sidecar has closed the connection
		step("given up")
		u.cancel(job)
	}
}

// answer answers a request that was processed, or misbehaves as the faults of the moment say. n is the index of this
// arrival among the try's.
func (u *server) answer(w http.ResponseWriter, r *http.Request, t *Try, n int) {
	body := fmt.Sprintf("%s served by s-%d, arrival %d", t.ID, u.number, n)
	if size, err := strconv.Atoi(r.URL.Query().Get("answer")); err == nil {
		body = strings.Repeat(body, 1+min(size, maxBodyBytes)/len(body))
	}
	hangs, spoils, draw := u.drawMisbehaviour()
	step := func(format string, args ...any) {
		u.servers.history.recordStep(t, n, u.servers.clock.now(), format, args...)
	}
	if hangs {
		u.servers.history.markSpoilt(t, n)
		step("hangs")
		<-r.Context().Done()
		step("connection ended")
		return
	}
	u.servers.history.recordVerdict(t, n, world.Accepted, body)
	if spoils {
		writeSpoilt(w, body, draw, func(way string, whole bool) {
			step("spoils: %s", way)
			if !whole {
				u.servers.history.markSpoilt(t, n)
			}
		})
		step("connection ended")
		return
	}
	if len(body) <= answerChunkBytes {
		_, _ = io.WriteString(w, body) // fails if the sidecar has closed the connection
		step("answered")
		return
	}
	c := r.Context().Value(connKey{}).(*conn)
	cut := func(why string) {
		u.servers.history.markSpoilt(t, n)
		step("%s", why)
	}
	c.onCut.Store(&cut)
	step("begins a long answer")
	sent, err := writeLongAnswer(w, body, draw, u.drawLongAnswerPace())
	step("sent %d of %d bytes, error %v", sent, len(body), err)
}

// portOf returns the port of a TCP address, or 0 for another kind of address.
func portOf(address net.Addr) int {
	if at, ok := address.(*net.TCPAddr); ok {
		return at.Port
	}
	return 0
}

// pacedRequestBody returns the body of a request as the server reads it.
func (u *server) pacedRequestBody(r *http.Request) io.Reader {
	u.servers.mu.Lock()
	defer u.servers.mu.Unlock()
	if rand.Float64() >= u.slowReadShare {
		return r.Body
	}
	return &lumpReader{Reader: r.Body, lumps: drawReadLumps()}
}

// drawLongAnswerPace draws how the server writes a long answer.
func (u *server) drawLongAnswerPace() lumps {
	u.servers.mu.Lock()
	defer u.servers.mu.Unlock()
	if rand.Float64() >= u.lumpShare {
		return lumps{answerChunkBytes, answerChunkPause}
	}
	return drawAnswerLumps()
}

// writeLongAnswer sends an answer in lumps, with a Content-Length if draw is even. It returns how many bytes were
// sent; an error means that the sidecar has closed the connection.
func writeLongAnswer(w http.ResponseWriter, body string, draw int, pace lumps) (sent int, err error) {
	if draw%2 == 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	flush := http.NewResponseController(w).Flush
	for sent < len(body) {
		if sent > 0 { // behind the last lump the connection may already carry another request
			time.Sleep(pace.pause)
		}
		n, err := io.WriteString(w, body[sent:min(sent+pace.bytes, len(body))])
		if err == nil {
			err = flush()
		}
		if err != nil {
			return sent, err
		}
		sent += n
	}
	return sent, nil
}

// drawMisbehaviour draws whether a request is never answered and whether its answer is spoilt. draw selects how.
func (u *server) drawMisbehaviour() (hangs, spoils bool, draw int) {
	u.servers.mu.Lock()
	defer u.servers.mu.Unlock()
	return rand.Float64() < u.hangShare, rand.Float64() < u.spoilShare, rand.IntN(len(spoiltAnswers))
}

// parseTimeout parses the X-Timeout header. It returns 0 if the header is missing or malformed.
func parseTimeout(text string) time.Duration {
	d, err := time.ParseDuration(strings.NewReplacer("m", "ms", "u", "us").Replace(text))
	if err != nil {
		return 0
	}
	return d
}

// keyHash returns the number that stands for a key in the model, which is 0 only for no key.
func keyHash(key string) uint64 {
	if key == "" {
		return 0
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, key) // never fails
	return h.Sum64() | 1
}

// submit hands a request to the model. If the verdict is world.Accepted, the job's end is sent on the returned channel,
// which is closed without it if the server goes down.
func (u *server) submit(work time.Duration, key, unique uint64) (chan world.Completion, uint64, world.Verdict) {
	u.servers.mu.Lock()
	defer u.servers.mu.Unlock()
	u.advance()
	defer u.update()
	if len(u.conns) > u.sockets {
		return nil, 0, world.Rejected
	}
	u.lastJob++
	v := u.model.Arrive(u.servers.clock.now(), world.Job{ID: u.lastJob, Work: work, Key: key, DedupKey: unique})
	if v != world.Accepted {
		return nil, 0, v
	}
	c := make(chan world.Completion, 1)
	u.waiting[u.lastJob] = c
	return c, u.lastJob, v
}

// cancel tells the model that the result of a job is no longer wanted.
func (u *server) cancel(job uint64) {
	u.servers.mu.Lock()
	defer u.servers.mu.Unlock()
	u.advance()
	u.model.Cancel(job)
	delete(u.waiting, job)
	u.update()
}
