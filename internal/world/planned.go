package world

import "time"

// Plan is a size of the fleet to design for, and what control may cost a sidecar there.
type Plan struct {
	Sidecars int // each beside an upstream of its own
	Services int
	Regions  int
	Zones    int
	Depth    int           // calls below one another, at most
	Calls    float64       // a second, in the whole fleet
	Added    time.Duration // to a call by its sidecar, for 99 in 100
	Changes  int           // of configuration, a day
	InForce  time.Duration // from a change's push until it is in force everywhere
	Machines int           // set aside for control

	Cores       float64 // of processor time that control may take at a sidecar
	MemoryBytes int
	BytesPerSec float64 // in and out together
}

// Planned is the size that the design goes by: tests and the page of capacity take their figures from here.
var Planned = Plan{
	Sidecars: 1900, Services: 56, Regions: 2, Zones: 7, Depth: 11, Calls: 270_000, Added: 550 * time.Microsecond,
	Changes: 6100, InForce: 13 * time.Second, Machines: 7,
	Cores: 0.01, MemoryBytes: 128 << 20, BytesPerSec: 2000,
}
