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
	minLongBody     = 70 << 10               // bytes of a long body, either way
	maxLongBody     = 300 << 10              // and fewer than so many
	slowBodyPieces  = 6                      // in which a slow client writes its body
	maxSlowBodyTime = 600 * time.Millisecond // and how long it may take over it
	minHurryTime    = 3 * time.Millisecond   // the time of a client in a hurry
	maxHurryTime    = 40 * time.Millisecond
	maxPipelined    = 4 // requests that a client sends behind each other at once
	dialTimeout     = time.Second
)

// behaviour is how a client makes a try.
type behaviour struct {
	leavesEarly bool // before its time is up
	longBytes   int  // bytes of its body and of its answer; 0: short ones
	bodyTime    time.Duration
	timeLimit   time.Duration // the time that it has; 0: the usual
	pipeline    int           // tries on one connection, sent at once; 0: one, on a connection that is kept
}

// behaviourAt draws how a client behaves by what the timetable has at a moment.
func (s *Scenario) behaviourAt(now time.Duration, rng *rand.Rand) (m behaviour) {
	drawn := func(do string) bool { return rng.Float64() < s.faultSizeAt(do, now) }
	m.leavesEarly = drawn("leave")
	if drawn("long") {
		m.longBytes = minLongBody + rng.IntN(maxLongBody-minLongBody)
	}
	if drawn("dawdle") {
		m.bodyTime = time.Duration(rng.Int64N(int64(maxSlowBodyTime)))
	}
	if drawn("hurry") {
		m.timeLimit = minHurryTime + time.Duration(rng.Int64N(int64(maxHurryTime-minHurryTime)))
	}
	if drawn("pipeline") && m.longBytes == 0 && m.bodyTime == 0 {
		m.pipeline = 2 + rng.IntN(maxPipelined-1)
	}
	return m
}

// faultSizeAt is the size of a fault of the load at a moment, by the timetable; the largest, where there are several.
func (s *Scenario) faultSizeAt(do string, now time.Duration) (share float64) {
	for _, f := range s.Faults {
		if f.Kind == do && now >= f.At.Std() && now < f.At.Std()+f.For.Std() {
			share = max(share, f.Size)
		}
	}
	return share
}

// requestBody is a request's body: slow clients write it in pieces, and their time begins with its last byte.
type requestBody struct {
	text  *strings.Reader
	pause time.Duration // before each piece
	piece int           // bytes of one; 0: no limit
	onEnd func()        // hears that the last byte goes out
}

func (b *requestBody) Read(p []byte) (int, error) {
	if b.text.Len() == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	if b.piece > 0 && len(p) > b.piece {
		p = p[:b.piece]
	}
	n, err := b.text.Read(p)
	if b.text.Len() == 0 {
		b.onEnd()
	}
	return n, err
}

// tryBody words a try's body in its manner.
func (k *clients) tryBody(t *Try, m behaviour, patience time.Duration) (text string, reader io.Reader) {
	text = `{"n":1}`
	if m.longBytes > 0 {
		text = strings.Repeat(t.ID, m.longBytes/len(t.ID))
	}
	if m.longBytes == 0 && m.bodyTime == 0 {
		return text, strings.NewReader(text)
	}
	b := &requestBody{text: strings.NewReader(text), onEnd: func() { k.history.sent(t, k.clock.now(), patience) }}
	if m.bodyTime > 0 {
		b.pause, b.piece = m.bodyTime/slowBodyPieces, len(text)/slowBodyPieces+1
	}
	return text, b
}

// sendPipelined sends tries behind each other at once, on a connection of their own, and reads their answers in order.
// It returns the first of them.
func (k *clients) sendPipelined(m behaviour, patience time.Duration, word func(t *Try) *http.Request, begin func() *Try) *Try {
	var tries []*Try
	var text strings.Builder
	for range m.pipeline {
		t := begin()
		t.Owed = t.Sent + patience
		tries = append(tries, t)
		if err := word(t).Write(&text); err != nil {
			panic(err) // of parts that are all well formed
		}
	}
	first, last := tries[0], tries[len(tries)-1]
	c, err := net.DialTimeout("tcp", k.net.address(first.Sidecar, clientPort), dialTimeout)
	if err != nil {
		for _, t := range tries {
			k.history.end(t, k.clock.now(), Unreachable, 0, "", false, false)
		}
		return first
	}
	defer c.Close()
	_ = c.SetDeadline(k.clock.timeAt(last.Owed + k.scenario.Load.extraWait())) // fails only on a closed one
	_, _ = io.WriteString(c, text.String())                                    // that it is closed shows as answers are read
	r := bufio.NewReader(c)
	for i, t := range tries {
		end, status, answer, partial := readAnswer(r)
		k.history.end(t, k.clock.now(), end, status, answer, partial, i == 0)
	}
	return first
}

// readAnswer reads one answer from a connection.
func readAnswer(r *bufio.Reader) (end Outcome, status int, body string, partial bool) {
	if _, err := r.Peek(1); err != nil {
		return outcomeOfError(err), 0, "", false
	}
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return outcomeOfError(err), 0, "", true
	}
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return outcomeOfError(err), res.StatusCode, "", true
	}
	return outcomeOfStatus(res.StatusCode), res.StatusCode, string(raw), true
}

// outcomeOfError is how a try ended whose answer could not be read.
func outcomeOfError(err error) Outcome {
	if late, ok := err.(net.Error); ok && late.Timeout() {
		return GaveUp
	}
	return Broken
}

// outcomeOfStatus is how a try ended by the status of its whole answer.
func outcomeOfStatus(status int) Outcome {
	switch status {
	case http.StatusOK:
		return Served
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return Refused
	}
	return Failed
}

// query words the part of a try's URL that tells its server what to answer.
func (m behaviour) query(a world.Arrival, body string) string {
	text := fmt.Sprintf("work=%v", a.Work)
	if m.longBytes > 0 {
		text += fmt.Sprintf("&answer=%d&sum=%s", m.longBytes, sumOf([]byte(body)))
	}
	return text
}
