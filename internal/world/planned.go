package world

import "time"

// FleetPlan is a size of the fleet to design for, and what control may cost a sidecar there.
type FleetPlan struct {
	Sidecars            int // each beside an upstream of its own
	Services            int
	Regions             int
	Zones               int
	CallDepth           int           // calls below one another, at most
	CallsPerSec         float64       // a second, in the whole fleet
	AddedLatencyP99     time.Duration // to a call by its sidecar, for 99 in 100
	ConfigChangesPerDay int           // of configuration, a day
	PropagationTime     time.Duration // from a change's push until it is in force everywhere
	ControlMachines     int           // set aside for control

	ControlCores       float64 // of processor time that control may take at a sidecar
	ControlMemoryBytes int
	ControlBytesPerSec float64 // in and out together
}

// PlannedFleet is the size that the design goes by: tests and the page of capacity take their figures from here.
var PlannedFleet = FleetPlan{
	Sidecars: 1900, Services: 56, Regions: 2, Zones: 7, CallDepth: 11, CallsPerSec: 270_000, AddedLatencyP99: 550 * time.Microsecond,
	ConfigChangesPerDay: 6100, PropagationTime: 13 * time.Second, ControlMachines: 7,
	ControlCores: 0.01, ControlMemoryBytes: 128 << 20, ControlBytesPerSec: 2000,
}
