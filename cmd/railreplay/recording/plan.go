package recording

import (
	"fmt"
	"time"

	"dandelionrail.org/rail/cmd/railreplay/trace"
)

// team is a team with its part of the traffic.
type team struct {
	name  string
	share float64
}

// plan says what a trace is made of.
type plan struct {
	name    string
	user    string
	model   string
	teams   []team
	length  time.Duration
	streams float64 // a second
	lookups float64 // a second
	orders  float64 // a second
	peak    bool
	shared  int // prompts' heads that several requests share
	lookup  call
	order   call
	faults  []trace.Fault
}

// call is the route and the path of a service call.
type call struct {
	route string
	path  string
}

// Names returns the names of the traces that can be made.
func Names() []string {
	return []string{"harrowgate-demo", "valcamonica-demo", "harrowgate", "valcamonica"}
}

// planOf returns the plan of a trace.
func planOf(name string) (plan, bool) {
	switch name {
	case "harrowgate-demo":
		return harrowgate(name, 25*time.Second, 8, demoFaults()), true
	case "valcamonica-demo":
		return valcamonica(name, 25*time.Second, 7, demoFaults()), true
	case "harrowgate":
		return harrowgate(name, time.Minute, 45, waveFaults(20, 4)), true
	case "valcamonica":
		return valcamonica(name, time.Minute, 20, waveFaults(10, 4)), true
	}
	return plan{}, false
}

func harrowgate(name string, length time.Duration, streams float64, faults []trace.Fault) plan {
	return plan{
		name:    name,
		user:    "harrowgate",
		model:   "brief-writer",
		teams:   []team{{"counters", 0.4}, {"schools", 0.3}, {"workshop", 0.15}, {"proofing", 0.1}, {"office", 0.05}},
		length:  length,
		streams: streams,
		lookups: streams * 0.7,
		orders:  streams * 0.4,
		shared:  12,
		lookup:  call{route: "proofs", path: "/proofs"},
		order:   call{route: "orders", path: "/orders"},
		faults:  faults,
	}
}

func valcamonica(name string, length time.Duration, streams float64, faults []trace.Fault) plan {
	return plan{
		name:    name,
		user:    "valcamonica",
		model:   "frame-advisor",
		teams:   []team{{"installers", 0.4}, {"members", 0.3}, {"nurseries", 0.15}, {"yard", 0.1}, {"office", 0.05}},
		length:  length,
		streams: streams,
		lookups: streams * 0.8,
		orders:  streams * 0.3,
		peak:    true,
		shared:  8,
		lookup:  call{route: "stock", path: "/stock"},
		order:   call{route: "orders", path: "/confirmations"},
		faults:  faults,
	}
}

// demoFaults are the reclaims of one engine and of one entry.
func demoFaults() []trace.Fault {
	return []trace.Fault{
		trace.NewReclaimFault(8*time.Second, "engine-2", 4*time.Second),
		trace.NewReclaimFault(13*time.Second, "entry-2", 6*time.Second),
	}
}

// waveFaults reclaim all engines of the first domain and one entry within two seconds, and a second engine elsewhere later.
func waveFaults(engines, domains int) []trace.Fault {
	var faults []trace.Fault
	at := 20 * time.Second
	for n := 1; n <= engines; n += domains {
		faults = append(faults, trace.NewReclaimFault(at, fmt.Sprintf("engine-%d", n), 5*time.Second))
		at += 300 * time.Millisecond
	}
	faults = append(faults, trace.NewReclaimFault(at, "entry-1", 6*time.Second))
	return append(faults, trace.NewReclaimFault(40*time.Second, "engine-2", 4*time.Second))
}
