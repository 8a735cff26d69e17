package world

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Class is a kind of request that clients make.
type Class struct {
	Name          string
	Share         float64       // share of the requests, relative to the other classes' shares
	MeanWork      time.Duration // mean of the lognormally distributed work, on the standard core
	WorkVariation float64       // coefficient of variation of the work
	Aim           time.Duration // latency target
	Deadline      time.Duration
	Worth         float64
	Idempotency   Idempotency
	DedupWindow   time.Duration // of Keyed classes: how long a zone drops repeats
}

// Idempotency is whether a request may be executed more than once.
type Idempotency string

// The kinds of idempotency.
const (
	Safe   Idempotency = "safe"   // repeats are harmless
	Keyed  Idempotency = "keyed"  // servers drop repeats within a window
	Unsafe Idempotency = "unsafe" // every execution takes effect
)

// Burst is a period of higher traffic. The rate ramps up over the first tenth of the period and down over the last.
type Burst struct {
	Start, Duration time.Duration
	Factor          float64 // multiplies the rate between the ramps
}

// LoadSpec holds the parameters of the load that clients generate.
type LoadSpec struct {
	Rate         float64 // requests per second over all sidecars, outside bursts
	Duration     time.Duration
	Sidecars     int
	Skew         float64 // coefficient of variation of the sidecars' shares of the load
	Classes      []Class
	Tenants      []float64 // relative share of the load of each tenant
	Keys         int       // number of distinct keys
	ZipfExponent float64   // the n-th most popular key has a frequency proportional to n to the power of -ZipfExponent
	Bursts       []Burst
}

// Arrival is a request that a client intends to make.
type Arrival struct {
	At                     time.Duration // when the request is due
	Sidecar, Class, Tenant int           // indexes
	Key                    uint64        // starts at 1
	Work                   time.Duration // processor time on the standard core
}

// DrawArrivals draws all arrivals of a run, in order of time. The arrivals do not depend on the outcome of earlier
// requests. Candidates are drawn at the rate of the highest possible burst and thinned to the rate at their time.
func DrawArrivals(spec LoadSpec, seed uint64) []Arrival {
	sidecarShares := make([]float64, spec.Sidecars)
	rng := rand.New(rand.NewPCG(seed, 2))
	total := 0.0
	for i := range sidecarShares {
		sidecarShares[i] = lognormal(rng, 1, spec.Skew)
		total += sidecarShares[i]
	}
	keys := zipfShares(spec.Keys, spec.ZipfExponent)
	tenants := cumulativeShares(spec.Tenants)
	var shares []float64
	for _, c := range spec.Classes {
		shares = append(shares, c.Share)
	}
	classes := cumulativeShares(shares)
	maxFactor := 1.0
	for _, b := range spec.Bursts {
		maxFactor *= max(1, b.Factor)
	}
	var all []Arrival
	for i, share := range sidecarShares {
		rng := rand.New(rand.NewPCG(seed, 1000+uint64(i))) // independent of the other sidecars' requests
		rate := spec.Rate * share / total * maxFactor
		for at := 0.0; rate > 0; {
			at += rng.ExpFloat64() / rate
			now := time.Duration(at * float64(time.Second))
			if now >= spec.Duration {
				break
			}
			accepted := rng.Float64() < spec.burstFactor(now)/maxFactor
			a := Arrival{At: now, Sidecar: i, Class: drawIndex(rng, classes), Tenant: drawIndex(rng, tenants), Key: 1 + uint64(drawIndex(rng, keys))}
			c := spec.Classes[a.Class]
			a.Work = time.Duration(lognormal(rng, float64(c.MeanWork), c.WorkVariation))
			if accepted {
				all = append(all, a)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// burstFactor returns the factor by which bursts multiply the rate at a time.
func (l *LoadSpec) burstFactor(now time.Duration) float64 {
	factor := 1.0
	for _, b := range l.Bursts {
		ramp := float64(min(now-b.Start, b.Start+b.Duration-now)) / (float64(b.Duration) / 10)
		factor *= 1 + (b.Factor-1)*min(1, max(0, ramp))
	}
	return factor
}

// MeanWork returns the mean work of a request over all classes.
func (l *LoadSpec) MeanWork() time.Duration {
	work, shares := 0.0, 0.0
	for _, c := range l.Classes {
		work += c.Share * float64(c.MeanWork)
		shares += c.Share
	}
	return time.Duration(work / max(shares, 1e-9))
}

// lognormal draws from the lognormal distribution with a mean and a coefficient of variation.
func lognormal(rng *rand.Rand, mean, variation float64) float64 {
	s := math.Log(1 + variation*variation)
	return mean * math.Exp(rng.NormFloat64()*math.Sqrt(s)-s/2)
}

// cumulativeShares returns the cumulative sums of shares, normalised to end at 1.
func cumulativeShares(shares []float64) []float64 {
	sums, total := make([]float64, len(shares)), 0.0
	for i, s := range shares {
		total += s
		sums[i] = total
	}
	for i := range sums {
		sums[i] /= total
	}
	return sums
}

// zipfShares returns the cumulative shares of n keys whose popularity follows Zipf's law.
func zipfShares(n int, exponent float64) []float64 {
	shares := make([]float64, max(n, 1))
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -exponent)
	}
	return cumulativeShares(shares)
}

// drawIndex draws an index with the probabilities that cumulative shares give.
func drawIndex(rng *rand.Rand, sums []float64) int {
	i, _ := slices.BinarySearch(sums, rng.Float64())
	return min(i, len(sums)-1)
}
