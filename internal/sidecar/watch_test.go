package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// startFollower runs a discovery client with its loop and module in a synctest bubble, with dial as its network.
func startFollower(t *testing.T, cfg *Config, dial func(ctx context.Context, network, address string) (net.Conn, error), onListing func(listing)) (d *discovery, stop func()) {
	t.Helper()
	c := newClock()
	l, err := newLoop(cfg, c, newTransport(cfg, c))
	if err != nil {
		t.Fatal(err)
	}
	d = newDiscovery(cfg, func(news listing) { onListing(news); l.applyListing(news) }, l.discoveryFailed)
	d.now, d.dial, d.random, l.subscribe = c.now, dial, rand.New(rand.NewPCG(cfg.Seed, 0)).Float64, d.subscribe
	ctx, cancel := context.WithCancel(context.Background())
	go l.run(ctx, cfg.KnownServers)
	go d.run(ctx)
	return d, cancel
}

// discardLogs discards what the test's sidecars log.
func discardLogs(t *testing.T) {
	before := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(before) })
}

// parseQuery returns what a call requested: changes since a version, held for wait, or the whole list (unknownVersion, 0).
func parseQuery(r *http.Request) (since int64, wait time.Duration) {
	since, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	if err != nil {
		since = unknownVersion
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait")) // 0 if absent
	return since, time.Duration(ms) * time.Millisecond
}

// However a call for the list fails, a later call has to deliver a change before it must be known and before the grace period
// of a drain is over. The clock is virtual, and the module's own delays count.
func TestNewsAreHeardBeforeTheyCount(t *testing.T) {
	discardLogs(t)
	const (
		afterWait    = 2 * time.Second // after the end of the wait of an unanswered watch
		afterTimeout = 6 * time.Second // after any other call stopped being answered
		afterReload  = 4 * time.Second // after a SIGHUP
		afterReturn  = 6 * time.Second // after discovery became reachable again, regardless of earlier failures
	)
	unreachable := func(what string, n int) string { return strings.Repeat(what+" ", n) + what + "!" }
	for _, c := range []struct {
		name, mode string
		grace      time.Duration // in milliseconds
		// What the connections and calls encounter, in order. The time limit counts from the one marked "!", from a watch's end of
		// wait. "none" is an answer without changes, "hold" no answer, "hang" a connection that is never established, "refuse" one that is
		// refused, "busy" a 503, "full" a 503 after a second, "half" an answer cut off, "stuck" one that stalls, "late" one at the
		// time-out, "cut" a closed connection; "+move", "+twice" and "+back" change discovery's address.
		behaviours string
		within     time.Duration // when the change must be known, before the grace period is added
	}{
		{"a watch is not answered", "ask", 250, "none hold!", afterWait},
		{"a watch is not answered, the next connection hangs", "ask", 250, "none hold! hang", afterWait},
		{"a watch is not answered, the next call is refused", "ask", 250, "none hold! busy", afterWait},
		{"a watch is not answered, the next call is refused late", "ask", 1000, "none hold! full", afterWait},
		{"a first call is not answered", "ask", 250, "hold!", afterTimeout},
		{"a first call is not answered, the next is refused late", "ask", 250, "hold! full", afterTimeout},
		{"two connections hang, a call is not answered", "ask", 250, "hang hang hold!", afterTimeout},
		{"a watch is not answered, the next connection hangs, pushed", "push", 250, "none hold! hang", afterWait},
		{"a watch is cut off, pushed", "push", 250, "none cut!", 0},
		{"a watch is cut off, the next connection hangs, pushed", "push", 250, "none cut! hang", 0},
		{"the first connection hangs, pushed", "push", 250, "hang!", 0},
		{"connections were refused, pushed", "push", 250, "none " + strings.Repeat("refuse ", 40) + "refuse!", 0},
		{"a watch is cut off, connections were refused, pushed", "push", 600, "none cut " + strings.Repeat("refuse ", 40) + "refuse!", 0},
		{"connections were refused", "ask", 250, "none " + unreachable("refuse", 12), afterReturn},
		{"connections were refused, then a call", "ask", 250, "none " + unreachable("refuse", 12) + " busy", afterReturn},
		{"connections were refused, then a call late", "ask", 250, "none " + unreachable("refuse", 12) + " full", afterReturn},
		{"connections were refused, then two calls", "ask", 250, "none " + unreachable("refuse", 12) + " busy busy", afterReturn},
		{"connections were refused, half an answer", "ask", 250, "none " + unreachable("refuse", 12) + " half", afterReturn},
		{"connections were refused, an answer stalls", "ask", 250, "none " + unreachable("refuse", 12) + " stuck", afterReturn},
		{"calls were refused", "ask", 250, "none cut " + unreachable("busy", 12), afterReturn},
		{"connections hung", "ask", 250, "none cut " + unreachable("hang", 8), afterReturn},
		{"connections hung, a call is refused late", "ask", 250, "none cut " + unreachable("hang", 8) + " full", afterReturn},
		{"calls were not answered", "ask", 250, "none hold " + unreachable("hold", 4), afterReturn},
		{"calls were not answered, one is refused late", "ask", 1000, "none hold " + unreachable("hold", 4) + " full", afterReturn},
		{"two calls are not answered", "ask", 250, "none cut hold! hold", afterReturn},
		{"two answers stall", "ask", 250, "none cut stuck! stuck", afterReturn},
		{"connections hung, a call is not answered", "ask", 250, "none cut " + strings.Repeat("hang ", 8) + "hold!", afterReturn},
		{"connections refused from the start", "ask", 250, unreachable("refuse", 12), afterReturn},
		{"connections hang from the start", "ask", 250, unreachable("hang", 8), afterReturn},
		{"an answer is cut off", "ask", 250, "none half!", afterReturn},
		{"an answer arrives at the time-out", "ask", 250, "none late!", afterWait},
		{"connections hung, pushed", "push", 250, "none cut " + unreachable("hang", 12), afterReturn},
		{"calls were not answered, pushed", "push", 250, "none hold " + unreachable("hold", 4), afterReturn},
		{"connections were refused, half an answer, pushed", "push", 250, "none " + unreachable("refuse", 12) + " half", 0},
		{"connections hang from the start, pushed", "push", 250, unreachable("hang", 12), afterReturn},
		{"two answers stall, pushed", "push", 250, "none cut stuck! stuck", afterReturn},
		{"address changed after connections hung", "ask", 250, "none cut " + strings.Repeat("hang ", 8) + "hang+move! hang full", afterReload},
		{"address changed after calls were not answered", "ask", 250, "none hold hold hold hold hold+move! hold", afterReload},
		{"address changed after calls were refused", "ask", 250, "none cut " + strings.Repeat("busy ", 8) + "busy+move! hang full", afterReload},
		{"address changed during a watch", "ask", 250, "none hold+move!", afterReload},
		{"address changed during a watch, no answer at the new one", "ask", 250, "none hold+move! hold", afterReload},
		{"address changed during a watch, the connection hangs, a call is refused late", "ask", 250, "none hold+move! hang full", afterReload},
		{"address changed while a connection hangs", "ask", 250, "hang+move! hold", afterReload},
		{"address changed during a first call", "ask", 250, "hold+move! hang busy", afterReload},
		{"address changed in the delay after a failure", "ask", 250, "busy+move! hold", afterReload},
		{"address changed in the delay after a failure, pushed", "push", 250, "busy+move! hold", afterReload},
		{"address changed twice", "ask", 250, "none hold+move hold+move! hold", afterReload},
		{"address changed twice at once", "ask", 250, "none hold+twice! hold", afterReload},
		{"address changed and back at once", "ask", 250, "none hold+back! hold", afterReload},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range 20 {
				synctest.Test(t, func(t *testing.T) {
					cfg := testConfig(t, listAnswer(1, "ready", "127.0.0.1:80"), func(file, settings map[string]any) {
						file["seed"], settings["discovery"] = strconv.Itoa(seed+1), c.mode
						rules := settings["rules"].(map[string]any)
						rules["stop_sending_within_ms"], rules["ask_within_ms"] = float64(c.grace), 10000.0
					})
					var (
						mu               sync.Mutex
						d                *discovery
						counted, heardAt time.Time
						n                int
					)
					calls := strings.Fields(c.behaviours)
					nextBehaviour := func(wait time.Duration, only ...string) string { // of the next call, if it is one of only (or only is empty)
						mu.Lock()
						defer mu.Unlock()
						if n >= len(calls) && len(only) == 0 {
							n++
							return map[bool]string{true: "news", false: "hold"}[n == len(calls)+1]
						} else if n >= len(calls) || len(only) > 0 && !slices.Contains(only, strings.TrimSuffix(calls[n], "!")) {
							return ""
						}
						n++
						what, counts := strings.CutSuffix(calls[n-1], "!")
						what, move, _ := strings.Cut(what, "+")
						if counts {
							counted = time.Now().Add(wait)
						}
						to := map[string][]string{"move": {strconv.Itoa(n) + ":80"}, "twice": {"x:80", "y:80"}, "back": {"x:80", cfg.Discovery}}[move]
						if len(to) > 0 {
							go func() {
								time.Sleep(50 * time.Millisecond) // into the delay after a failure
								mu.Lock()
								defer mu.Unlock()
								counted = time.Now()
								for _, address := range to {
									d.setAddress(address)
								}
							}()
						}
						return what
					}
					answer := func(c net.Conn) {
						defer c.Close()
						for in := bufio.NewReader(c); ; {
							r, err := http.ReadRequest(in)
							if err != nil {
								return
							}
							since, wait := parseQuery(r)
							what := nextBehaviour(wait)
							switch what {
							case "none":
								ok(c, `{"generation":1,"reset":false,"instances":[]}`)
							case "news":
								ok(c, strings.Replace(listAnswer(2, "draining", "127.0.0.1:80"), "true", strconv.FormatBool(since == unknownVersion), 1))
							case "hold":
								_, _ = io.Copy(io.Discard, in) // until the client closes the connection
							case "full":
								time.Sleep(time.Second)
								fallthrough
							case "busy":
								fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
							case "half", "stuck":
								news := listAnswer(2, "draining", "127.0.0.1:80")
								fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(news), news[:len(news)/2])
								if what == "half" {
									return
								}
								_, _ = io.Copy(io.Discard, in)
							case "late":
								time.Sleep(wait + watchAnswerTimeout)
								ok(c, strings.Replace(listAnswer(2, "draining", "127.0.0.1:80"), "true", "false", 1))
							case "cut":
								return
							}
						}
					}
					dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
						switch nextBehaviour(0, "refuse", "hang", "hang+move") {
						case "refuse":
							return nil, io.ErrUnexpectedEOF
						case "hang":
							<-ctx.Done()
							return nil, ctx.Err()
						}
						near, far := net.Pipe()
						go answer(far)
						return near, nil
					}
					mu.Lock()
					var stop func()
					d, stop = startFollower(t, cfg, dial, func(l listing) {
						mu.Lock()
						defer mu.Unlock()
						if l.version == 2 && heardAt.IsZero() {
							heardAt = time.Now()
						}
					})
					mu.Unlock()
					defer stop()
					time.Sleep(2 * time.Minute)
					mu.Lock()
					defer mu.Unlock()
					if late := heardAt.Sub(counted) - c.within - c.grace*time.Millisecond; counted.IsZero() || heardAt.IsZero() || late > 0 {
						t.Errorf("seed %d: the change is known %v after the limit, at %v, after %d calls", seed, late, heardAt, n)
					}
				})
			}
		})
	}
}

// All watches of a fleet begin together, after a change of the list, and stop being answered together. Discovery can handle only
// a limited number of new ones at a time: each sidecar must learn of the change in time, with one call. After an outage for
// all, during operation or from their start, each must learn of it within 6 s of discovery's return, and only few calls may be
// refused.
func TestFleetReopensWatchesInTurn(t *testing.T) {
	discardLogs(t)
	const timeout, grace, continued = time.Second, 250 * time.Millisecond, 200 * time.Millisecond
	for _, fleet := range []struct {
		n           int
		workPerCall time.Duration // time that discovery needs for a call
		downFor     time.Duration // how long it refuses connections; 0: it stops answering instead
		failsAt     time.Duration // when that begins; 0 is the start
	}{
		{6, 229 * time.Millisecond, 0, 9 * time.Second}, {300, 9 * time.Millisecond, 0, 9 * time.Second},
		{300, 19 * time.Millisecond, 0, 9 * time.Second}, {6, 229 * time.Millisecond, 12 * time.Second, 9 * time.Second},
		{20, 250 * time.Millisecond, 12 * time.Second, 9 * time.Second}, {60, 90 * time.Millisecond, 12 * time.Second, 0},
		{300, 19 * time.Millisecond, 12 * time.Second, 0}, {300, 19 * time.Millisecond, 3 * time.Second, 9 * time.Second},
	} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var (
					mu            sync.Mutex
					busyUntil     time.Time // when discovery has handled the calls accepted so far
					calls, failed int       // since the failure began
					version       = int64(1)
					down          bool
					changed       = make(chan struct{})
					silenced      = make(chan struct{})
					stops         []func()
					due           = make([]time.Time, fleet.n)
					heardAt       = make([]time.Time, fleet.n)
				)
				locked := func(f func()) { mu.Lock(); defer mu.Unlock(); f() }
				change := func() { version++; close(changed); changed = make(chan struct{}) }
				serve := func(i int, c net.Conn) {
					defer c.Close()
					in, last := bufio.NewReader(c), time.Time{}
					for {
						r, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						since, wait := parseQuery(r)
						start, turn, late := time.Now(), time.Time{}, false
						if start.Sub(last) > continued { // a new watch, not the continuation of one
							locked(func() {
								at := start
								if busyUntil.After(at) {
									at = busyUntil
								}
								calls++
								if late = at.Add(fleet.workPerCall).Sub(start) > timeout; late {
									failed++
								} else {
									turn = at.Add(fleet.workPerCall)
									busyUntil = turn
								}
							})
							if late {
								fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
								continue
							}
							time.Sleep(time.Until(turn))
						}
						var news, silence chan struct{}
						locked(func() { news, silence, late = changed, silenced, version > since })
						ends := time.After(wait - time.Since(start))
						if late {
							ends = time.After(0)
						}
						select {
						case <-news:
						case <-ends:
						case <-silence:
							if fleet.downFor > 0 {
								return
							}
							locked(func() { due[i] = laterOf(time.Now().Add(6*time.Second), start.Add(wait+2*time.Second)) })
							_, _ = io.Copy(io.Discard, in)
							return
						}
						var text string
						locked(func() { text = listAnswer(int(version), "draining", "127.0.0.1:80") })
						ok(c, strings.Replace(text, "true", "false", 1))
						last = time.Now()
					}
				}
				for i := range fleet.n {
					cfg := testConfig(t, listAnswer(1, "ready", "127.0.0.1:80"), func(file, settings map[string]any) {
						file["seed"], settings["discovery"] = strconv.Itoa(i+1), "ask"
						settings["balancers"], settings["me"] = fleet.n, i
						settings["rules"].(map[string]any)["ask_within_ms"] = 10000.0
					})
					dial := func(context.Context, string, string) (c net.Conn, err error) {
						locked(func() {
							if down {
								err = io.ErrUnexpectedEOF
								return
							}
							var far net.Conn
							c, far = net.Pipe()
							go serve(i, far)
						})
						return c, err
					}
					_, stop := startFollower(t, cfg, dial, func(l listing) {
						locked(func() {
							if l.version == 3 && heardAt[i].IsZero() {
								heardAt[i] = time.Now()
							}
						})
					})
					stops = append(stops, stop)
				}
				if fleet.failsAt > time.Second {
					time.Sleep(fleet.failsAt - time.Second)
					locked(change)
					time.Sleep(time.Second)
				}
				locked(func() {
					close(silenced)
					silenced, down = make(chan struct{}), fleet.downFor > 0
					calls, failed, version = 0, 0, 2
					change()
				})
				if down {
					time.Sleep(fleet.downFor)
					locked(func() {
						down = false
						for i := range due {
							due[i] = time.Now().Add(6 * time.Second)
						}
					})
				}
				time.Sleep(time.Minute)
				for _, stop := range stops {
					stop()
				}
				time.Sleep(time.Minute) // for the calls that discovery still holds to end
				unanswered, worst := 0, -time.Hour
				for i := range fleet.n {
					if !due[i].IsZero() {
						unanswered++
						worst = max(worst, heardAt[i].Sub(due[i]))
					}
				}
				allowed := 0
				if fleet.downFor > 0 {
					allowed = 2 * fleet.n
				}
				if unanswered < fleet.n*9/10 || worst > grace || failed > allowed {
					t.Errorf("%d of %d watches were unanswered; the last change %v after its limit; %d calls, %d refused", unanswered, fleet.n, worst, calls, failed)
				}
			})
		})
	}
}

// laterOf returns the later of two moments.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// A subscription requested during a call is settled by the end of that call: after a failure the next call is made only when the
// module requests it again.
func TestFailureSettlesSubscription(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig(t, listAnswer(0, "ready"), func(_, settings map[string]any) { settings["discovery"] = "ask" })
		calls, end := make(chan struct{}, 10), make(chan struct{})
		d := newDiscovery(cfg, func(listing) {}, func() {})
		d.dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
					calls <- struct{}{}
					<-end
					fmt.Fprint(far, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
				}
			}()
			return near, nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.run(ctx)
		for range 2 {
			d.subscribe()
			<-calls
			d.subscribe() // requested again during the call
			end <- struct{}{}
			if synctest.Wait(); len(calls) > 0 {
				t.Fatal("discovery was called without a request")
			}
		}
	})
}
