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

// startFollower is a sidecar's discovery with its loop and module, for a synctest bubble: dial is its network.
func startFollower(t *testing.T, cfg *Config, dial func(ctx context.Context, network, address string) (net.Conn, error), heard func(listing)) (d *discovery, stop func()) {
	t.Helper()
	c := newClock()
	l, err := newLoop(cfg, c, newTransport(cfg, c))
	if err != nil {
		t.Fatal(err)
	}
	d = newDiscovery(cfg, func(news listing) { heard(news); l.applyListing(news) }, l.discoveryFailed)
	d.now, d.dial, d.random, l.subscribe = c.now, dial, rand.New(rand.NewPCG(cfg.Seed, 0)).Float64, d.subscribe
	ctx, cancel := context.WithCancel(context.Background())
	go l.run(ctx, cfg.Known)
	go d.run(ctx)
	return d, cancel
}

// discardLogs keeps what a test's sidecars log to itself.
func discardLogs(t *testing.T) {
	before := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(before) })
}

// parseQuery is what a call asked for: changes since a version, for so long, or (-1) the whole list.
func parseQuery(r *http.Request) (since int64, wait time.Duration) {
	since, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	if err != nil {
		since = unknownVersion
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait")) // none: no wait
	return since, time.Duration(ms) * time.Millisecond
}

// Whatever one call for the list meets, the next one brings the news before they count as told and the grace of a drain is over:
// on virtual time, and over the module's own pauses.
func TestNewsAreHeardBeforeTheyCount(t *testing.T) {
	discardLogs(t)
	const (
		waited = 2 * time.Second // behind a watch's wait its news count
		silent = 6 * time.Second // and so long after a call without one fell silent
		moved  = 4 * time.Second // and so long after a SIGHUP
		reach  = 6 * time.Second // and so long after discovery could be reached, whatever failed before
	)
	away := func(what string, n int) string { return strings.Repeat(what+" ", n) + what + "!" }
	for _, row := range []struct {
		name, how string
		grace     time.Duration
		calls     string        // what they meet, one after the other; "!": from then (a watch: from its wait's end) news count
		by        time.Duration // after so long
	}{
		{"a watch falls silent", "ask", 250, "none hold!", waited},
		{"and the next connection does not come up", "ask", 250, "none hold! hang", waited},
		{"and the next call is refused", "ask", 250, "none hold! busy", waited},
		{"and the next call waits in vain for its turn", "ask", 1000, "none hold! full", waited},
		{"a first call falls silent", "ask", 250, "hold!", silent},
		{"and the next waits in vain", "ask", 250, "hold! full", silent},
		{"two connections hang, and a call falls silent", "ask", 250, "hang hang hold!", silent},
		{"a watch falls silent, pushed", "push", 250, "none hold! hang", waited},
		{"a watch ends, pushed", "push", 250, "none cut!", 0},
		{"and the next connection hangs, pushed", "push", 250, "none cut! hang", 0},
		{"a process starts, and a connection hangs, pushed", "push", 250, "hang!", 0},
		{"discovery was away, pushed", "push", 250, "none " + strings.Repeat("refuse ", 40) + "refuse!", 0},
		{"discovery was off, pushed", "push", 600, "none cut " + strings.Repeat("refuse ", 40) + "refuse!", 0},
		{"discovery was away", "ask", 250, "none " + away("refuse", 12), reach},
		{"and the next call is refused", "ask", 250, "none " + away("refuse", 12) + " busy", reach},
		{"and the next call waits in vain", "ask", 250, "none " + away("refuse", 12) + " full", reach},
		{"and the next two are refused", "ask", 250, "none " + away("refuse", 12) + " busy busy", reach},
		{"and its first word is half a line", "ask", 250, "none " + away("refuse", 12) + " half", reach},
		{"and stands still in half a line", "ask", 250, "none " + away("refuse", 12) + " stuck", reach},
		{"it was busy", "ask", 250, "none cut " + away("busy", 12), reach},
		{"its machine was off", "ask", 250, "none cut " + away("hang", 8), reach},
		{"and the next call waits in vain", "ask", 250, "none cut " + away("hang", 8) + " full", reach},
		{"it was silent", "ask", 250, "none hold " + away("hold", 4), reach},
		{"and the next call waits in vain", "ask", 1000, "none hold " + away("hold", 4) + " full", reach},
		{"two calls fall silent", "ask", 250, "none cut hold! hold", reach},
		{"two answers stand still", "ask", 250, "none cut stuck! stuck", reach},
		{"off, then silent", "ask", 250, "none cut " + strings.Repeat("hang ", 8) + "hold!", reach},
		{"away from the start", "ask", 250, away("refuse", 12), reach},
		{"off from the start", "ask", 250, away("hang", 8), reach},
		{"an answer is cut off", "ask", 250, "none half!", reach},
		{"an answer comes as it is given up", "ask", 250, "none late!", waited},
		{"off, pushed", "push", 250, "none cut " + away("hang", 12), reach},
		{"silent, pushed", "push", 250, "none hold " + away("hold", 4), reach},
		{"away, and its first word is half a line, pushed", "push", 250, "none " + away("refuse", 12) + " half", 0},
		{"off from the start, pushed", "push", 250, away("hang", 12), reach},
		{"two answers stand still, pushed", "push", 250, "none cut stuck! stuck", reach},
		{"moved after it was off", "ask", 250, "none cut " + strings.Repeat("hang ", 8) + "hang+move! hang full", moved},
		{"moved after it was silent", "ask", 250, "none hold hold hold hold hold+move! hold", moved},
		{"moved after it was away", "ask", 250, "none cut " + strings.Repeat("busy ", 8) + "busy+move! hang full", moved},
		{"moved while a watch is open", "ask", 250, "none hold+move!", moved},
		{"and the new address is silent", "ask", 250, "none hold+move! hold", moved},
		{"and its connection hangs, and it is busy", "ask", 250, "none hold+move! hang full", moved},
		{"moved while a connection hangs", "ask", 250, "hang+move! hold", moved},
		{"moved while a first call is silent", "ask", 250, "hold+move! hang busy", moved},
		{"moved in the pause after a failure", "ask", 250, "busy+move! hold", moved},
		{"moved in the pause after a failure, pushed", "push", 250, "busy+move! hold", moved},
		{"moved twice", "ask", 250, "none hold+move hold+move! hold", moved},
		{"moved twice at once", "ask", 250, "none hold+twice! hold", moved},
		{"moved and back at once", "ask", 250, "none hold+back! hold", moved},
	} {
		t.Run(row.name, func(t *testing.T) {
			for seed := range 20 {
				synctest.Test(t, func(t *testing.T) {
					cfg := testConfig(t, listed(1, "ready", "127.0.0.1:80"), func(file, settings map[string]any) {
						file["seed"], settings["discovery"] = strconv.Itoa(seed+1), row.how
						rules := settings["rules"].(map[string]any)
						rules["stop_sending_within_ms"], rules["ask_within_ms"] = float64(row.grace), 10000.0
					})
					var (
						mu       sync.Mutex
						d        *discovery
						from, at time.Time
						n        int
					)
					calls := strings.Fields(row.calls)
					meets := func(wait time.Duration, only ...string) string { // the next call; of these kinds only
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
							from = time.Now().Add(wait)
						}
						to := map[string][]string{"move": {strconv.Itoa(n) + ":80"}, "twice": {"x:80", "y:80"}, "back": {"x:80", cfg.Discovery}}[move]
						if len(to) > 0 {
							go func() {
								time.Sleep(50 * time.Millisecond) // into the pause after a failure
								mu.Lock()
								defer mu.Unlock()
								from = time.Now()
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
							what := meets(wait)
							switch what {
							case "none":
								ok(c, `{"generation":1,"reset":false,"instances":[]}`)
							case "news":
								ok(c, strings.Replace(listed(2, "draining", "127.0.0.1:80"), "true", strconv.FormatBool(since == unknownVersion), 1))
							case "hold":
								_, _ = io.Copy(io.Discard, in) // until the other side gives up
							case "full":
								time.Sleep(time.Second)
								fallthrough
							case "busy":
								fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
							case "half", "stuck":
								news := listed(2, "draining", "127.0.0.1:80")
								fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(news), news[:len(news)/2])
								if what == "half" {
									return
								}
								_, _ = io.Copy(io.Discard, in)
							case "late":
								time.Sleep(wait + watchAnswerTimeout)
								ok(c, strings.Replace(listed(2, "draining", "127.0.0.1:80"), "true", "false", 1))
							case "cut":
								return
							}
						}
					}
					dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
						switch meets(0, "refuse", "hang", "hang+move") {
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
						if l.version == 2 && at.IsZero() {
							at = time.Now()
						}
					})
					mu.Unlock()
					defer stop()
					time.Sleep(2 * time.Minute)
					mu.Lock()
					defer mu.Unlock()
					if late := at.Sub(from) - row.by - row.grace*time.Millisecond; from.IsZero() || at.IsZero() || late > 0 {
						t.Errorf("seed %d: heard %v after the bound, at %v, after %d calls", seed, late, at, n)
					}
				})
			}
		})
	}
}

// All watches of a fleet begin together, as a change of the list ends them, and fall silent together. Discovery bears so many new ones
// in turn, no more: each sidecar hears before the news count for it, and asks once. Where discovery was down for all, or refused all
// from their start, each hears within 6 s of its return, and of its calls few are refused.
func TestFleetReopensWatchesInTurn(t *testing.T) {
	discardLogs(t)
	const timeout, grace, again = time.Second, 250 * time.Millisecond, 200 * time.Millisecond
	for _, fleet := range []struct {
		n    int
		each time.Duration // discovery's work for a call
		down time.Duration // how long it refuses all, instead of falling silent
		at   time.Duration // and from when: 0 is the start
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
					free          time.Time // discovery has worked off what it took
					calls, failed int       // since the silence
					version       = int64(1)
					down          bool
					changed       = make(chan struct{})
					silenced      = make(chan struct{})
					stops         []func()
					told          = make([]time.Time, fleet.n)
					heard         = make([]time.Time, fleet.n)
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
						begun, turn, late := time.Now(), time.Time{}, false
						if begun.Sub(last) > again { // no watch that goes on
							locked(func() {
								at := begun
								if free.After(at) {
									at = free
								}
								calls++
								if late = at.Add(fleet.each).Sub(begun) > timeout; late {
									failed++
								} else {
									turn = at.Add(fleet.each)
									free = turn
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
						ends := time.After(wait - time.Since(begun))
						if late {
							ends = time.After(0)
						}
						select {
						case <-news:
						case <-ends:
						case <-silence:
							if fleet.down > 0 {
								return
							}
							locked(func() { told[i] = laterOf(time.Now().Add(6*time.Second), begun.Add(wait+2*time.Second)) })
							_, _ = io.Copy(io.Discard, in)
							return
						}
						var text string
						locked(func() { text = listed(int(version), "draining", "127.0.0.1:80") })
						ok(c, strings.Replace(text, "true", "false", 1))
						last = time.Now()
					}
				}
				for i := range fleet.n {
					cfg := testConfig(t, listed(1, "ready", "127.0.0.1:80"), func(file, settings map[string]any) {
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
							if l.version == 3 && heard[i].IsZero() {
								heard[i] = time.Now()
							}
						})
					})
					stops = append(stops, stop)
				}
				if fleet.at > time.Second {
					time.Sleep(fleet.at - time.Second)
					locked(change)
					time.Sleep(time.Second)
				}
				locked(func() {
					close(silenced)
					silenced, down = make(chan struct{}), fleet.down > 0
					calls, failed, version = 0, 0, 2
					change()
				})
				if down {
					time.Sleep(fleet.down)
					locked(func() {
						down = false
						for i := range told {
							told[i] = time.Now().Add(6 * time.Second)
						}
					})
				}
				time.Sleep(time.Minute)
				for _, stop := range stops {
					stop()
				}
				time.Sleep(time.Minute) // what discovery still holds ends
				silent, worst := 0, -time.Hour
				for i := range fleet.n {
					if !told[i].IsZero() {
						silent++
						worst = max(worst, heard[i].Sub(told[i]))
					}
				}
				allowed := 0
				if fleet.down > 0 {
					allowed = 2 * fleet.n
				}
				if silent < fleet.n*9/10 || worst > grace || failed > allowed {
					t.Errorf("%d watches were silent, of %d; the last news %v behind their bound; %d calls, %d in vain", silent, fleet.n, worst, calls, failed)
				}
			})
		})
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// What the module asked for while a call was out is settled by that call's end: behind a failure the next call comes no sooner than the
// module asks again.
func TestFailureSettlesSubscription(t *testing.T) {
	discardLogs(t)
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig(t, listed(0, "ready"), func(_, settings map[string]any) { settings["discovery"] = "ask" })
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
			d.subscribe() // it takes long
			end <- struct{}{}
			if synctest.Wait(); len(calls) > 0 {
				t.Fatal("called unasked")
			}
		}
	})
}
