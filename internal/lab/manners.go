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
	longLeast  = 70 << 10               // bytes of a long body, either way
	longMost   = 300 << 10              // and fewer than so many
	slowPieces = 6                      // in which a slow client writes its body
	slowMost   = 600 * time.Millisecond // and how long it may take over it
	hurryLeast = 3 * time.Millisecond   // the time of a client in a hurry
	hurryMost  = 40 * time.Millisecond
	pipeMost   = 4 // requests that a client sends behind each other at once
	dialTime   = time.Second
)

// manner is how a client makes a try.
type manner struct {
	leaves    bool // before its time is up
	longBytes int  // bytes of its body and of its answer; 0: short ones
	slow      time.Duration
	hurry     time.Duration // the time that it has; 0: the usual
	pipeline  int           // tries on one connection, sent at once; 0: one, on a connection that is kept
}

// mannerAt draws how a client behaves by what the timetable has at a moment.
func (s *Scenario) mannerAt(now time.Duration, rng *rand.Rand) (m manner) {
	drawn := func(do string) bool { return rng.Float64() < s.shareOf(do, now) }
	m.leaves = drawn("leave")
	if drawn("long") {
		m.longBytes = longLeast + rng.IntN(longMost-longLeast)
	}
	if drawn("dawdle") {
		m.slow = time.Duration(rng.Int64N(int64(slowMost)))
	}
	if drawn("hurry") {
		m.hurry = hurryLeast + time.Duration(rng.Int64N(int64(hurryMost-hurryLeast)))
	}
	if drawn("pipeline") && m.longBytes == 0 && m.slow == 0 {
		m.pipeline = 2 + rng.IntN(pipeMost-1)
	}
	return m
}

// shareOf is the size of a fault of the load at a moment, by the timetable; the largest, where there are several.
func (s *Scenario) shareOf(do string, now time.Duration) (share float64) {
	for _, f := range s.Fault {
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
	whole func()        // hears that the last byte goes out
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
		b.whole()
	}
	return n, err
}

// bodyOf words a try's body in its manner.
func (k *clients) bodyOf(t *Try, m manner, patience time.Duration) (text string, reader io.Reader) {
	text = `{"n":1}`
	if m.longBytes > 0 {
		text = strings.Repeat(t.ID, m.longBytes/len(t.ID))
	}
	if m.longBytes == 0 && m.slow == 0 {
		return text, strings.NewReader(text)
	}
	b := &requestBody{text: strings.NewReader(text), whole: func() { k.history.recordSent(t, k.clock.now(), patience) }}
	if m.slow > 0 {
		b.pause, b.piece = m.slow/slowPieces, len(text)/slowPieces+1
	}
	return text, b
}

// pipelined sends tries behind each other at once, on a connection of their own, and reads their answers in order.
// It returns the first of them.
func (k *clients) pipelined(m manner, patience time.Duration, word func(t *Try) *http.Request, begin func() *Try) *Try {
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
	c, err := net.DialTimeout("tcp", k.net.address(first.Sidecar, clientPort), dialTime)
	if err != nil {
		for _, t := range tries {
			k.history.endTry(t, k.clock.now(), Unreachable, 0, "", false, false)
		}
		return first
	}
	defer c.Close()
	_ = c.SetDeadline(k.clock.timeAt(last.Owed + k.scenario.Load.extraWait())) // fails only on a closed one
	_, _ = io.WriteString(c, text.String())                                    // that it is closed shows as answers are read
	r := bufio.NewReader(c)
	for i, t := range tries {
		end, status, answer, partial := readAnswer(r)
		k.history.endTry(t, k.clock.now(), end, status, answer, partial, i == 0)
	}
	return first
}

// readAnswer reads one answer from a connection.
func readAnswer(r *bufio.Reader) (end Outcome, status int, body string, partial bool) {
	if _, err := r.Peek(1); err != nil {
		return endOf(err), 0, "", false
	}
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return endOf(err), 0, "", true
	}
	raw, err := io.ReadAll(io.LimitReader(res.Body, answerLimit))
	if err != nil {
		return endOf(err), res.StatusCode, "", true
	}
	return outcomeOf(res.StatusCode), res.StatusCode, string(raw), true
}

// endOf is how a try ended whose answer could not be read.
func endOf(err error) Outcome {
	if late, ok := err.(net.Error); ok && late.Timeout() {
		return GaveUp
	}
	return Broken
}

// outcomeOf is how a try ended by the status of its whole answer.
func outcomeOf(status int) Outcome {
	switch status {
	case http.StatusOK:
		return Served
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return Refused
	}
	return Failed
}

// query words the part of a try's URL that tells its server what to answer.
func (m manner) query(a world.Arrival, body string) string {
	text := fmt.Sprintf("work=%v", a.Work)
	if m.longBytes > 0 {
		text += fmt.Sprintf("&answer=%d&sum=%s", m.longBytes, bodyHash([]byte(body)))
	}
	return text
}
