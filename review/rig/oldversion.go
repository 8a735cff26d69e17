package main

import (
	"fmt"
	"io"
	"strings"
	"time"
)

func init() { cases["9"] = oldVersion }

// oldVersion has a peer send a message of HTTP/1.0 with a transfer coding, whose body nobody can tell the end of. It must
// get an error or a close, and no server may run anything for it. Without trouble its messages are proper ones.
func oldVersion(r *rig) error {
	s, servers, _, err := r.small(settings(publish, rebuild, status), func(a *arrival) { plain(a, "done") }, nil)
	if err != nil {
		return err
	}
	const body = "release 4.2 of a package"
	for n := range 10 {
		c, err := s.dial()
		if err != nil {
			return err
		}
		q := request{class: publish, id: fmt.Sprintf("peer-%d", n), timeout: 500, body: []byte(body)}
		head := strings.Replace(q.head(), fmt.Sprintf("Content-Length: %d", len(body)), "Transfer-Encoding: chunked", 1)
		if r.trouble {
			head = strings.Replace(head, " HTTP/1.1\r\n", " HTTP/1.0\r\n", 1)
		}
		message := fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
		r.note("peer sends %q", message)
		if _, err := io.WriteString(c, message); err != nil {
			return err
		}
		r.note("peer has of %s: %v", q.id, read(c, q, 3*time.Second))
		c.Close()
	}
	ran := 0
	for _, s := range servers {
		s.mu.Lock()
		for _, a := range s.arrivals {
			ran++
			if r.trouble {
				r.fail("%s ran %s, which was no proper request, with %q for a body of %q", s.name, a.id(), a.body, body)
			} else if string(a.body) != body {
				r.fail("%s ran %s with %q for a body of %q", s.name, a.id(), a.body, body)
			}
		}
		s.mu.Unlock()
	}
	if !r.trouble && ran == 0 {
		return fmt.Errorf("%w: no proper request ran", errUnplayable)
	}
	return nil
}
