package sidecar

import (
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"arrowgw/internal/balance"
)

// maxTimeout is what longer client timeouts are treated as.
const maxTimeout = time.Hour

// parseRequest reads a request's headers into q, and the client's X-Timeout into timeout. A missing or malformed
// header is an error, whose text is sent to the client.
func (f *front) parseRequest(r *http.Request) (q balance.Request, timeout time.Duration, err error) {
	h := r.Header
	if err := checkRepeatedHeaders(h); err != nil {
		return q, 0, err
	}
	if h.Get("X-Request-ID") == "" {
		return q, 0, errors.New("X-Request-ID is missing")
	}
	if q.Class, err = f.parseClass(r); err != nil {
		return q, 0, err
	}
	var ok bool
	if len(f.cfg.Tenants) > 0 {
		if q.Tenant, ok = f.cfg.Tenants[h.Get("X-Tenant-Id")]; !ok {
			return q, 0, errors.New("X-Tenant-Id names no tenant")
		}
	}
	if timeout, ok = parseTimeout(h.Get("X-Timeout")); !ok {
		return q, 0, errors.New("X-Timeout is missing or malformed")
	}
	if cost := h.Get("X-Cost"); cost != "" {
		if q.Work, ok = parseTimeout(cost + "u"); !ok {
			return q, 0, errors.New("X-Cost is malformed")
		}
	}
	if key := h.Get("X-Route-Key"); key != "" {
		sum := fnv.New64a()
		_, _ = io.WriteString(sum, key) // a hash never fails
		q.Key = sum.Sum64()
	}
	q.ClientRetry = h.Get("X-Retried") == "1"
	return q, timeout, nil
}

// checkRepeatedHeaders returns an error if a header that must be there at most once is repeated: another reader might use
// its second value.
func checkRepeatedHeaders(h http.Header) error {
	for _, name := range []string{"X-Request-Id", "X-Priority-Class", "X-Tenant-Id", "X-Timeout", "Idempotency-Key"} {
		if len(h[name]) > 1 {
			return errors.New(name + " is there twice")
		}
	}
	return nil
}

// parseClass returns the index of a request's class, or an error if the request is not one of that class.
func (f *front) parseClass(r *http.Request) (int, error) {
	name := r.Header.Get("X-Priority-Class")
	class, ok := f.cfg.Classes[name]
	if !ok {
		return 0, errors.New("X-Priority-Class names no class")
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); first != name {
		return 0, errors.New("the path is of another class than X-Priority-Class")
	}
	idempotency := f.cfg.Policy.Classes[class].Idempotency
	method := http.MethodPost
	if idempotency == balance.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		return 0, errors.New("the method is not that of the class")
	}
	if method == http.MethodGet && r.ContentLength != 0 {
		return 0, errors.New("a request of the class has no body")
	}
	if idempotency == balance.Keyed && r.Header.Get("Idempotency-Key") == "" {
		return 0, errors.New("Idempotency-Key is missing")
	}
	return class, nil
}

// parseTimeout parses a decimal number with the unit m (milliseconds) or u (microseconds). Values above maxTimeout are
// cut to it.
func parseTimeout(text string) (time.Duration, bool) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	if !ok || strings.Trim(number, "0123456789.") != "" {
		return 0, false
	}
	n, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(n*float64(unit), float64(maxTimeout))), true
}

// endToEndHeaders returns a copy of from without the hop-by-hop headers.
func endToEndHeaders(from http.Header) http.Header {
	to := make(http.Header, len(from)+2)
	for name, values := range from {
		to[name] = values
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(textproto.TrimString(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
		"Content-Length", "X-Server-Load",
	} {
		delete(to, name)
	}
	if to["User-Agent"] == nil {
		to["User-Agent"] = nil // keeps net/http from adding its own
	}
	return to
}
