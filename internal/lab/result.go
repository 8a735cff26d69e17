package lab

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arrowgw/internal/world"
)

// resultSchema is the version of result.json.
const resultSchema = 1

// Result is what came of a run. With the same scenario, seed and program it can be played again.
type Result struct {
	Schema   int                `json:"schema"`
	Scenario string             `json:"scenario"`
	About    string             `json:"about"`
	Seed     uint64             `json:"seed"`
	Sidecars int                `json:"sidecars"`
	Servers  int                `json:"servers"`
	Hollow   int                `json:"hollow,omitempty"`
	Label    string             `json:"label,omitempty"` // what an experiment calls its program
	Commit   string             `json:"commit"`          // of the tree that the lab ran in
	Program  string             `json:"program"`         // digest of the sidecar
	Began    time.Time          `json:"began"`
	Seconds  float64            `json:"seconds"`
	Late     string             `json:"late,omitempty"` // why the run is not believed where times count
	Verdicts []Verdict          `json:"verdicts"`
	Figures  map[string]float64 `json:"figures"`
	Plan     []string           `json:"plan"`
	Sends    [][]float64        `json:"sends,omitempty"` // attempts that reached each server, second by second
}

// triesName is the file of all tries in a result's folder, one to a line, with what servers did with each.
const triesName = "tries.jsonl"

// ResultName is the file of a result in its folder.
const ResultName = "result.json"

// Held says whether every invariant held.
func (r *Result) Held() bool {
	return !slices.ContainsFunc(r.Verdicts, func(v Verdict) bool { return !v.Held })
}

// result judges and counts a run that is over.
func (r *run) result(o Options, plan []PlannedFault, lab, length time.Duration) *Result {
	s := r.scenario
	res := &Result{
		Schema: resultSchema, Scenario: s.Name, About: s.About, Seed: o.Seed, Sidecars: s.Fleet.Sidecars, Servers: s.Fleet.Servers,
		Commit: treeCommit(), Program: programDigest(o.Program), Began: time.Now().Add(-length).UTC(), Seconds: s.For.Std().Seconds(),
		Late: r.lateness.reason(length), Hollow: s.Fleet.Hollow,
	}
	for _, why := range r.hollow.lateReasons {
		res.Late = strings.TrimPrefix(res.Late+"; "+why, "; ")
	}
	for _, a := range plan {
		res.Plan = append(res.Plan, fmt.Sprintf("%v %s", a.At, a.describe()))
	}
	res.Verdicts = judge(r.history, s, res.Late != "")
	r.fits = r.eligibleTimes(plan)
	res.Figures = r.computeFigures(lab)
	r.addSpreadFigures(plan, res.Figures)
	for _, c := range r.servers.arrivals {
		res.Sends = append(res.Sends, c.values()[:int(s.For.Std()/time.Second)])
	}
	return res
}

// computeFigures counts a run.
func (r *run) computeFigures(lab time.Duration) map[string]float64 {
	h, s, k := r.history, r.scenario, r.clients
	f := make(map[string]float64)
	var asked, inTime, work, tries float64
	ends := make(map[Outcome]float64)
	for _, a := range h.requests {
		class := k.classes[a.Class]
		worth := class.Worth * a.Work.Seconds()
		asked += worth
		work += a.Work.Seconds()
		tries += float64(a.Tries)
		ends[a.End]++
		if a.End == Served && a.Ended-a.At <= class.Aim {
			inTime += worth
		}
	}
	n := max(1, float64(len(h.requests)))
	f["requests"] = float64(len(h.requests))
	f["worth"] = inTime / max(asked, 1e-9)
	for _, o := range []Outcome{Served, Refused, Failed, GaveUp, Broken, Unreachable} {
		f[strings.ReplaceAll(string(o), " ", "_")] = ends[o] / n
	}
	f["client_tries"] = tries / n
	attempts, turned := 0.0, 0.0
	for _, t := range h.tries {
		attempts += float64(len(t.Reached))
		turned += float64(len(t.Reached) - len(arrivalsThatMayHaveRun(t)))
	}
	f["attempts"], f["turned_away"] = attempts/n, turned/n
	all := hdrhistogram.New(1, 60_000_000, 3)
	for i, hist := range k.latency {
		all.Merge(hist)
		f["p99_ms_"+k.classes[i].Name] = float64(hist.ValueAtQuantile(99)) / 1000
	}
	f["p50_ms"], f["p99_ms"] = float64(all.ValueAtQuantile(50))/1000, float64(all.ValueAtQuantile(99))/1000
	worked, choked := 0.0, 0.0
	r.servers.mu.Lock() // their timers may still run
	for _, u := range r.servers.all {
		worked += u.model.WorkDone
		choked += float64(u.model.CongestionCount())
	}
	r.servers.mu.Unlock()
	f["work"], f["choked"] = worked/max(work, 1e-9), choked
	r.roster.mu.Lock()
	f["discovery_calls"], f["discovery_lines"] = float64(r.roster.calls)/n, float64(r.roster.lines)/n
	f["discovery_failed"] = float64(r.roster.failed)
	r.roster.mu.Unlock()
	r.processes.mu.Lock()
	f["cpu_ms"] = float64(r.processes.cpu.Milliseconds()) / n
	f["rss_mib"], f["descriptors"], f["rss_all_mib"] = r.processes.maxRSS, float64(r.processes.maxFDs), r.processes.maxTotalRSS
	f["written_kib_min"] = r.processes.bytesWritten / 1024 / float64(s.Fleet.Sidecars) / s.For.Std().Minutes()
	r.processes.mu.Unlock()
	f["lab_cpu_ms"] = float64(lab.Milliseconds()) / n
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err == nil {
		f["lab_rss_mib"] = float64(used.Maxrss) / 1024
	}
	r.lateness.mu.Lock()
	f["lab_late_ms"], f["lab_late_most_ms"] = float64(r.lateness.hist.ValueAtQuantile(99))/1000, float64(r.lateness.hist.Max())/1000
	r.lateness.mu.Unlock()
	if r.mesh != nil {
		r.mesh.addedDelay.mu.Lock()
		f["relay_packets"], f["relay_added_us"] = float64(r.mesh.addedDelay.n), float64(r.mesh.addedDelay.sum.Microseconds())/max(1, float64(r.mesh.addedDelay.n))
		r.mesh.addedDelay.mu.Unlock()
	}
	r.addRestartFigures(f)
	r.addDetectionFigures(f)
	r.hollow.addFigures(f)
	r.addDutyFigures(f)
	if back, ok := r.recoveryTime(); ok {
		f["recovery_s"] = back
	}
	r.addReturnFigures(f)
	f["capacity"], f["use"] = s.capacity(), s.Load.Utilization
	return f
}

// restartSpan is how long after a sidecar was started again its requests are counted by themselves.
const restartSpan = 5 * time.Second

// addRestartFigures counts what processes cost that were started again: the time from their start until they were ready and
// until a request that was sent after it was served (medians, in ms), what became of the requests of the next 5 s, and
// how many attempts a process made in them at servers that answered nobody in that time.
func (r *run) addRestartFigures(f map[string]float64) {
	var ready, served []float64
	due, inTime, failed, lost := 0.0, 0.0, 0.0, 0.0
	for _, s := range r.history.restarts {
		ready = append(ready, float64((s.to-s.from).Microseconds())/1000)
		first := time.Duration(-1)
		for _, t := range r.history.tries {
			if t.Sidecar == s.sidecar && t.End == Served && t.Sent >= s.from && (first < 0 || t.Ended < first) {
				first = t.Ended
			}
		}
		lost += r.attemptsAtDeadServers(s)
		if first >= 0 {
			served = append(served, float64((first-s.from).Microseconds())/1000)
		}
		for _, a := range r.history.requests {
			if a.Sidecar != s.sidecar || a.At < s.to || a.At > s.to+restartSpan {
				continue
			}
			due++
			switch {
			case a.End != Served:
				failed++
			case a.Ended-a.At <= r.clients.classes[a.Class].Aim:
				inTime++
			}
		}
	}
	if due > 0 && len(served) > 0 {
		f["restart_ready_ms"], f["restart_served_ms"] = distributionOf(ready).median, distributionOf(served).median
		f["restart_in_time"], f["restart_failed"] = inTime/due, failed/due
		f["restart_lost"] = lost / float64(len(ready))
	}
}

// attemptsAtDeadServers counts a started sidecar's attempts of the first 5 s at servers that answered nobody meanwhile.
func (r *run) attemptsAtDeadServers(s sidecarSpan) (n float64) {
	answered := make(map[int]bool)
	at := make(map[int]float64)
	for _, t := range r.history.tries {
		for _, a := range t.Reached {
			if a.At < s.from || a.At > s.to+restartSpan {
				continue
			}
			answered[a.Server] = answered[a.Server] || a.Answer != "" || a.Verdict != world.Accepted
			if a.Sidecar == s.sidecar {
				at[a.Server]++
			}
		}
	}
	for server, attempts := range at {
		if !answered[server] {
			n += attempts
		}
	}
	return n
}

// recoveryTime is how long after the last fault was mended (or began, if it is for good) the share of requests answered
// in time was at 95% of what it had been before the first, for two seconds on end; the rest of the run if it never was.
func (r *run) recoveryTime() (seconds float64, ok bool) {
	first, last, ok := r.faultWindow()
	if !ok {
		return 0, false
	}
	before := r.inTimeShare(1, int(first/time.Second))
	end := int(r.scenario.For.Std() / time.Second)
	for i := int((last + time.Second - 1) / time.Second); i+2 <= end; i++ {
		if r.inTimeShare(i, i+1) >= recoveredShare*before && r.inTimeShare(i+1, i+2) >= recoveredShare*before {
			return max(0, float64(i)-last.Seconds()), true
		}
	}
	return max(0, float64(end)-last.Seconds()), true
}

const (
	recoveredShare = 0.95             // of the share in time before the first fault: it is as before
	baselineSpan   = 5 * time.Second  // which is that of so long before it
	returnTime     = 10 * time.Second // after the last fault a fleet has to be as before, and to stay so
)

// addReturnFigures counts how a fleet fares from 10 s after its last fault on: the share answered in time against that of the 5 s
// before the first, whether that is as before, the refused, clients' tries, and the share of the servers that a crowd keeps
// slow. A run that ends sooner tells nothing of that.
func (r *run) addReturnFigures(f map[string]float64) {
	first, last, ok := r.faultWindow()
	from, end := last+returnTime, int(r.scenario.For.Std()/time.Second)
	if !ok || int(first/time.Second) < 2 || int(from/time.Second)+2 > end {
		return
	}
	second := int((from + time.Second - 1) / time.Second)
	before, after := r.inTimeShare(int((first-baselineSpan)/time.Second), int(first/time.Second)), r.inTimeShare(second, end)
	f["before"], f["after"], f["returned"] = before, after, 0
	if after >= recoveredShare*before {
		f["returned"] = 1
	}
	n, refused, tries := 0.0, 0.0, 0.0
	for _, a := range r.history.requests {
		if a.At < from {
			continue
		}
		n++
		tries += float64(a.Tries)
		if a.End == Refused {
			refused++
		}
	}
	tipped := 0.0
	for _, v := range r.servers.congested.values()[second:end] {
		tipped += v
	}
	f["after_refused"], f["after_tries"] = refused/max(1, n), tries/max(1, n)
	f["after_tipped"] = tipped / float64(end-second) / float64(r.scenario.Fleet.Servers)
}

// faultWindow is when the first fault began, and when the last was mended, or began if it is for good.
func (r *run) faultWindow() (first, last time.Duration, ok bool) {
	for i, m := range r.faults.played {
		if i == 0 {
			first = m.At
		}
		first, last = min(first, m.At), max(last, m.At, m.Until)
	}
	return first, last, len(r.faults.played) > 0
}

// inTimeShare is the share of the requests due in some seconds that was answered in time.
func (r *run) inTimeShare(from, to int) float64 {
	in, total := 0.0, 0.0
	for i := max(0, from); i < min(to, len(r.clients.inTime.perSecond)); i++ {
		in += float64(r.clients.inTime.perSecond[i].Load())
		for _, c := range r.clients.outcomes {
			total += float64(c.perSecond[i].Load())
		}
	}
	return in / max(total, 1)
}

// treeCommit names the tree that the lab runs in.
func treeCommit() string {
	out, err := exec.Command("git", "rev-parse", "--short=12", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	name := strings.TrimSpace(string(out))
	if changed, err := exec.Command("git", "status", "--porcelain", "--untracked-files=no").Output(); err == nil && len(changed) > 0 {
		name += "+changes"
	}
	return name
}

// programDigest names a program by what it holds.
func programDigest(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return "unknown"
	}
	defer f.Close()
	sum := sha256.New()
	if _, err := io.Copy(sum, f); err != nil {
		return "unknown"
	}
	return fmt.Sprintf("%x", sum.Sum(nil)[:6])
}

// write leaves the result and the report in a folder.
func (r *Result) write(dir string, run *run) error {
	page, err := renderReport(r, run)
	if err != nil {
		return err
	}
	return errors.Join(
		os.WriteFile(filepath.Join(dir, "report.html"), page, 0o644),
		run.history.writeTries(filepath.Join(dir, triesName)),
		r.rewrite(dir), // last: where it is, the run is whole
	)
}

func (r *Result) encode() ([]byte, error) {
	raw, err := json.MarshalIndent(r, "", "  ")
	return append(raw, '\n'), err
}

// ReadResult reads a result's file.
func ReadResult(path string) (*Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r Result
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if r.Schema != resultSchema {
		return nil, fmt.Errorf("%s: schema %d, this program reads %d", path, r.Schema, resultSchema)
	}
	return &r, nil
}

// Print writes a result for people.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintf(w, "%s, seed %d: %d sidecars, %d servers, %.0f s (tree %s, program %s)\n",
		r.Scenario, r.Seed, r.Sidecars, r.Servers, r.Seconds, r.Commit, r.Program)
	for _, line := range r.Plan {
		fmt.Fprintf(w, "  fault      %s\n", line)
	}
	f := r.Figures
	fmt.Fprintf(w, "  worth      %.3f of what was asked for, in time (%.0f requests)\n", f["worth"], f["requests"])
	fmt.Fprintf(w, "  ended      served %.3f  refused %.3f  failed %.3f  gave up %.3f  broken %.4f  unreachable %.4f\n",
		f["served"], f["refused"], f["failed"], f["gave_up"], f["broken"], f["unreachable"])
	fmt.Fprintf(w, "  latency    p50 %.1f ms  p99 %.1f ms, from when a request was due\n", f["p50_ms"], f["p99_ms"])
	fmt.Fprintf(w, "  cost       %.2f attempts and %.2f client tries a request, %.2f of the work, discovery %.3f calls\n",
		f["attempts"], f["client_tries"], f["work"], f["discovery_calls"])
	fmt.Fprintf(w, "  processes  cpu %.2f ms a request, most memory %.1f MiB, most descriptors %.0f\n", f["cpu_ms"], f["rss_mib"], f["descriptors"])
	for _, when := range []struct{ name, text string }{{"", "spread"}, {"after_", "  after"}} {
		if v, ok := f[when.name+"spread_10s"]; ok {
			fmt.Fprintf(w, "  %-10s %.1f%% over 10 s, %.1f%% of it beyond chance; busiest %.2f, least %.2f of the mean (%.2f, %.2f beyond chance); idle for %.1f s\n",
				when.text, 100*v, 100*f[when.name+"spread_10s_over"], f[when.name+"busiest"], f[when.name+"least"],
				f[when.name+"busiest_over"], f[when.name+"least_over"], f[when.name+"idle_most_s"])
		}
	}
	if back, ok := f["recovery_s"]; ok {
		fmt.Fprintf(w, "  recovery   %.1f s after the last fault\n", back)
	}
	fmt.Fprintf(w, "  lab        late by %.1f ms in 99 of 100 cases, %.0f ms at most; cpu %.2f ms a request; memory %.0f MiB, and %.0f of all sidecars\n",
		f["lab_late_ms"], f["lab_late_most_ms"], f["lab_cpu_ms"], f["lab_rss_mib"], f["rss_all_mib"])
	r.printHollow(w)
	if r.Late != "" {
		fmt.Fprintf(w, "  LATE       %s: where times count, this run is not believed\n", r.Late)
	}
	for _, v := range r.Verdicts {
		switch {
		case !v.Judged:
			fmt.Fprintf(w, "  not judged %s\n", v.Invariant)
		case v.Held:
			fmt.Fprintf(w, "  held       %s\n", v.Invariant)
		default:
			fmt.Fprintf(w, "  BROKEN     %s, %d times\n", v.Invariant, v.Broken)
			for _, line := range v.Findings {
				fmt.Fprintf(w, "             %s\n", line)
			}
		}
	}
}

// FigureNames are the figures of some results, in order.
func FigureNames(all ...*Result) []string {
	names := make(map[string]bool)
	for _, r := range all {
		for name := range r.Figures {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// JSON writes a result for programs.
func (r *Result) JSON(w io.Writer) error {
	raw, err := r.encode()
	if err != nil {
		return err
	}
	_, err = w.Write(raw)
	return err
}
