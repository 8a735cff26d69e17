package world

import "time"

// FleetPlan is a fleet size to design for, and the budget that the control plane has at each sidecar.
type FleetPlan struct {
	Sidecars            int // one per upstream instance
	Services            int
	Regions             int
	Zones               int
	CallDepth           int           // longest chain of nested calls
	CallsPerSec         float64       // over the whole fleet
	AddedLatencyP99     time.Duration // latency that the sidecar adds to a call, 99th percentile
	ConfigChangesPerDay int
	PropagationTime     time.Duration // from the push of a configuration change until it is in force everywhere
	ControlMachines     int           // machines reserved for the control plane

	ControlCores       float64 // processor time of the control plane at a sidecar, in cores
	ControlMemoryBytes int     // memory of the control plane at a sidecar
	ControlBytesPerSec float64 // control traffic of a sidecar, sent and received
}

// PlannedFleet is the fleet size of the design. Tests and the capacity documentation take their figures from it.
var PlannedFleet = FleetPlan{
	Sidecars: 1900, Services: 56, Regions: 2, Zones: 7, CallDepth: 11, CallsPerSec: 270_000, AddedLatencyP99: 550 * time.Microsecond,
	ConfigChangesPerDay: 6100, PropagationTime: 13 * time.Second, ControlMachines: 7,
	ControlCores: 0.01, ControlMemoryBytes: 128 << 20, ControlBytesPerSec: 2000,
}
