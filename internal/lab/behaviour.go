package lab

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"arrowgw/internal/world"
)

const (
	minLongBody     = 70 << 10               // bytes of a long request or answer body
	maxLongBody     = 300 << 10              // exclusive
	slowBodyPieces  = 6                      // pieces in which a slow client sends a body
	maxSlowBodyTime = 600 * time.Millisecond // longest time that a slow client takes to send a body
	minHurryTime    = 3 * time.Millisecond   // shortest timeout of a client with a short one
	maxHurryTime    = 40 * time.Millisecond  // exclusive
	maxPipelined    = 4                      // requests that a client sends at once on a connection
	dialTimeout     = time.Second
)

// behaviour is how a client makes a try.
type behaviour struct {
	leavesEarly bool          // the client disconnects before its timeout
	longBytes   int           // bytes of the request's and of the answer's body; 0: short bodies
	bodyTime    time.Duration // how long sending the body takes; 0: it is sent at once
	timeLimit   time.Duration // upper bound of the timeout; 0: the usual timeout
	pipelined   int           // tries sent at once on a connection of their own; 0: one try on a pooled connection
}

// behaviourAt draws how a client behaves at a time, by the faults of the load that the timetable has then.
func (s *Scenario) behaviourAt(now time.Duration, rng *rand.Rand) (b behaviour) {
	drawn := func(kind string) bool { return rng.Float64() < s.faultSizeAt(kind, now) }
	b.leavesEarly = drawn("leave")
	if drawn("long") {
		b.longBytes = minLongBody + rng.IntN(maxLongBody-minLongBody)
	}
	if drawn("dawdle") {
		b.bodyTime = time.Duration(rng.Int64N(int64(maxSlowBodyTime)))
	}
	if drawn("hurry") {
		b.timeLimit = minHurryTime + time.Duration(rng.Int64N(int64(maxHurryTime-minHurryTime)))
	}
	if drawn("pipeline") && b.longBytes == 0 && b.bodyTime == 0 {
		b.pipelined = 2 + rng.IntN(maxPipelined-1)
	}
	return b
}

// faultSizeAt returns the size of a kind of fault at a time, by the timetable; the largest if there are several, 0 if
// there are none.
func (s *Scenario) faultSizeAt(kind string, now time.Duration) (size float64) {
	for _, f := range s.Faults {
		if f.Kind == kind && now >= f.At.Std() && now < f.At.Std()+f.For.Std() {
			size = max(size, f.Size)
		}
	}
	return size
}

// requestBody is the body of a request that is long or sent slowly. A client's timeout begins when the last byte is
// sent.
type requestBody struct {
	unread     *strings.Reader
	pause      time.Duration // before each piece
	pieceBytes int           // largest piece; 0: no limit
	onEnd      func()        // called when the last byte is handed over
}

// Read implements io.Reader. It pauses before each piece.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.unread.Len() == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	if b.pieceBytes > 0 && len(p) > b.pieceBytes {
		p = p[:b.pieceBytes]
	}
	n, err := b.unread.Read(p)
	if b.unread.Len() == 0 {
		b.onEnd()
	}
	return n, err
}

// tryBody returns the body of a try, as text and as a reader that sends it the way the client behaves.
func (k *clients) tryBody(t *Try, b behaviour, timeout time.Duration) (text string, reader io.Reader) {
	text = `{"n":1}`
	if b.longBytes > 0 {
		text = strings.Repeat(t.ID, b.longBytes/len(t.ID))
	}
	if b.longBytes == 0 && b.bodyTime == 0 {
		return text, strings.NewReader(text)
	}
	body := &requestBody{unread: strings.NewReader(text), onEnd: func() { k.history.recordSent(t, k.clock.now(), timeout) }}
	if b.bodyTime > 0 {
		body.pause, body.pieceBytes = b.bodyTime/slowBodyPieces, len(text)/slowBodyPieces+1
	}
	return text, body
}

// sendPipelined sends several tries at once on a connection of their own, and reads their answers in order. It returns
// the first try.
func (k *clients) sendPipelined(b behaviour, timeout time.Duration, build func(t *Try) *http.Request, begin func() *Try) *Try {
	var tries []*Try
	var text strings.Builder
	for range b.pipelined {
		t := begin()
		t.Owed = t.Sent + timeout
		tries = append(tries, t)
		if err := build(t).Write(&text); err != nil {
			panic(err) // cannot happen: all parts are well formed
		}
	}
	first, last := tries[0], tries[len(tries)-1]
	c, err := net.DialTimeout("tcp", k.net.address(first.Sidecar, clientPort), dialTimeout)
	if err != nil {
		for _, t := range tries {
			k.history.endTry(t, k.clock.now(), Unreachable, 0, "", false, false)
		}
		return first
	}
	defer c.Close()
	_ = c.SetDeadline(k.clock.timeAt(last.Owed + k.scenario.Load.extraWait())) // fails only if it is closed
	_, _ = io.WriteString(c, text.String())                                    // an error shows when the answers are read
	r := bufio.NewReader(c)
	for i, t := range tries {
		k.endTryWith(t, readAnswer(r), i == 0)
	}
	return first
}

// answerResult is what came of reading an answer.
type answerResult struct {
	end     Outcome
	status  int // 0: none
	body    string
	partial bool  // any byte of it was received
	err     error // why it could not be read
}

// readAnswer reads one answer from a connection.
func readAnswer(r *bufio.Reader) answerResult {
	if _, err := r.Peek(1); err != nil {
		return answerResult{end: outcomeOfError(err), err: err}
	}
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return answerResult{end: outcomeOfError(err), partial: true, err: err}
	}
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return answerResult{end: outcomeOfError(err), status: res.StatusCode, partial: true, err: err}
	}
	return answerResult{end: outcomeOfStatus(res.StatusCode), status: res.StatusCode, body: string(raw), partial: true}
}

// endTryWith records how a try ended that was made on a connection of its own.
func (k *clients) endTryWith(t *Try, a answerResult, fresh bool) {
	k.history.recordCause(t, a.err)
	k.history.endTry(t, k.clock.now(), a.end, a.status, a.body, a.partial, fresh)
}

// outcomeOfError returns the outcome of a try whose answer could not be read.
func outcomeOfError(err error) Outcome {
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		return GaveUp
	}
	return Broken
}

// outcomeOfStatus returns the outcome of a try that got a complete answer.
func outcomeOfStatus(status int) Outcome {
	switch status {
	case http.StatusOK:
		return Served
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return Refused
	}
	return Failed
}

// query returns the query of a try's URL, which tells the server how much work to do, how long an answer to send, and
// the hash of a long request body.
func (b behaviour) query(a world.Arrival, body string) string {
	text := fmt.Sprintf("work=%v", a.Work)
	if b.longBytes > 0 {
		text += fmt.Sprintf("&answer=%d&sum=%s", b.longBytes, bodyHash([]byte(body)))
	}
	return text
}
