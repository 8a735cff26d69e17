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
	Share         float64       // of the requests, against the others' shares
	MeanWork      time.Duration // mean, on the standard core
	WorkVariation float64       // its standard deviation against the mean; lognormal
	Aim           time.Duration
	Deadline      time.Duration
	Worth         float64
	Idempotency   Idempotency
	DedupWindow   time.Duration // keyed: how long a zone drops repeats
}

// Idempotency says what a repeat of a request may do.
type Idempotency string

// The effects.
const (
	Safe   Idempotency = "safe"
	Keyed  Idempotency = "keyed"
	Unsafe Idempotency = "unsafe"
)

// Burst is a time of more traffic: it rises and falls within a tenth of its length at either end.
type Burst struct {
	Start, Duration time.Duration
	Factor          float64
}

// LoadSpec says what clients ask for.
type LoadSpec struct {
	Rate         float64 // requests a second over all sidecars, before bursts
	Duration     time.Duration
	Sidecars     int
	Skew         float64 // standard deviation of the sidecars' parts against their mean
	Classes      []Class
	Tenants      []float64 // their shares of the traffic
	Keys         int       // distinct ones
	ZipfExponent float64   // the n-th most popular key is asked for as often as n to the minus Zipf
	Bursts       []Burst
}

// Arrival is a request that a client wants to make.
type Arrival struct {
	At                     time.Duration // when it is due
	Sidecar, Class, Tenant int
	Key                    uint64 // from 1 on
	Work                   time.Duration
}

// DrawArrivals draws all arrivals of a run, in order of time. They do not depend on what becomes of them.
func DrawArrivals(spec LoadSpec, seed uint64) []Arrival {
	parts := make([]float64, spec.Sidecars)
	rng := rand.New(rand.NewPCG(seed, 2))
	total := 0.0
	for i := range parts {
		parts[i] = lognormal(rng, 1, spec.Skew)
		total += parts[i]
	}
	keys := zipf(spec.Keys, spec.ZipfExponent)
	tenants := cumulate(spec.Tenants)
	var shares []float64
	for _, c := range spec.Classes {
		shares = append(shares, c.Share)
	}
	classes := cumulate(shares)
	most := 1.0
	for _, b := range spec.Bursts {
		most *= max(1, b.Factor)
	}
	var all []Arrival
	for i, part := range parts {
		rng := rand.New(rand.NewPCG(seed, 1000+uint64(i))) // a sidecar's requests are its own
		rate := spec.Rate * part / total * most
		for at := 0.0; rate > 0; {
			at += rng.ExpFloat64() / rate
			now := time.Duration(at * float64(time.Second))
			if now >= spec.Duration {
				break
			}
			kept := rng.Float64() < spec.times(now)/most
			a := Arrival{At: now, Sidecar: i, Class: pick(rng, classes), Tenant: pick(rng, tenants), Key: 1 + uint64(pick(rng, keys))}
			c := spec.Classes[a.Class]
			a.Work = time.Duration(lognormal(rng, float64(c.MeanWork), c.WorkVariation))
			if kept {
				all = append(all, a)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// times is by how much bursts multiply the traffic at a moment.
func (l *LoadSpec) times(now time.Duration) float64 {
	times := 1.0
	for _, b := range l.Bursts {
		in := float64(min(now-b.Start, b.Start+b.Duration-now)) / (float64(b.Duration) / 10)
		times *= 1 + (b.Factor-1)*min(1, max(0, in))
	}
	return times
}

// MeanWork is the mean work of a request.
func (l *LoadSpec) MeanWork() time.Duration {
	work, shares := 0.0, 0.0
	for _, c := range l.Classes {
		work += c.Share * float64(c.MeanWork)
		shares += c.Share
	}
	return time.Duration(work / max(shares, 1e-9))
}

// lognormal draws from a lognormal distribution by its mean and relative standard deviation.
func lognormal(rng *rand.Rand, mean, spread float64) float64 {
	s := math.Log(1 + spread*spread)
	return mean * math.Exp(rng.NormFloat64()*math.Sqrt(s)-s/2)
}

// cumulate turns shares into a running sum that ends at 1.
func cumulate(shares []float64) []float64 {
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

func zipf(n int, exponent float64) []float64 {
	shares := make([]float64, max(n, 1))
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -exponent)
	}
	return cumulate(shares)
}

// pick draws a place by a running sum.
func pick(rng *rand.Rand, sums []float64) int {
	i, _ := slices.BinarySearch(sums, rng.Float64())
	return min(i, len(sums)-1)
}
