package recording

import (
	"fmt"
	"time"

	"dandelionrail.org/rail/cmd/railreplay/trace"
)

// team is a team with its share of the traffic.
type team struct {
	name  string
	share float64
}

// plan describes the contents of a trace.
type plan struct {
	name             string
	user             string
	model            string
	teams            []team
	duration         time.Duration
	streamsPerSecond float64
	lookupsPerSecond float64
	ordersPerSecond  float64
	peak             bool // the rates rise to a peak in the middle of the trace
	sharedPrefixes   int  // number of prompt prefixes that several requests share
	lookup           endpoint
	order            endpoint
	faults           []trace.Fault
}

// endpoint is the route and the path of a service endpoint.
type endpoint struct {
	route string
	path  string
}

// Names returns the names of the traces that can be generated.
func Names() []string {
	return []string{"harrowgate-demo", "valcamonica-demo", "harrowgate", "valcamonica"}
}

// findPlan returns the plan of a trace.
func findPlan(name string) (plan, bool) {
	switch name {
	case "harrowgate-demo":
		return harrowgate(name, 25*time.Second, 8, demoFaults()), true
	case "valcamonica-demo":
		return valcamonica(name, 25*time.Second, 7, demoFaults()), true
	case "harrowgate":
		return harrowgate(name, time.Minute, 45, domainReclaimFaults(20, 4)), true
	case "valcamonica":
		return valcamonica(name, time.Minute, 20, domainReclaimFaults(10, 4)), true
	}
	return plan{}, false
}

func harrowgate(name string, duration time.Duration, streamsPerSecond float64, faults []trace.Fault) plan {
	return plan{
		name:             name,
		user:             "harrowgate",
		model:            "brief-writer",
		teams:            []team{{"counters", 0.4}, {"schools", 0.3}, {"workshop", 0.15}, {"proofing", 0.1}, {"office", 0.05}},
		duration:         duration,
		streamsPerSecond: streamsPerSecond,
		lookupsPerSecond: streamsPerSecond * 0.7,
		ordersPerSecond:  streamsPerSecond * 0.4,
		sharedPrefixes:   12,
		lookup:           endpoint{route: "proofs", path: "/proofs"},
		order:            endpoint{route: "orders", path: "/orders"},
		faults:           faults,
	}
}

func valcamonica(name string, duration time.Duration, streamsPerSecond float64, faults []trace.Fault) plan {
	return plan{
		name:             name,
		user:             "valcamonica",
		model:            "frame-advisor",
		teams:            []team{{"installers", 0.4}, {"members", 0.3}, {"nurseries", 0.15}, {"yard", 0.1}, {"office", 0.05}},
		duration:         duration,
		streamsPerSecond: streamsPerSecond,
		lookupsPerSecond: streamsPerSecond * 0.8,
		ordersPerSecond:  streamsPerSecond * 0.3,
		peak:             true,
		sharedPrefixes:   8,
		lookup:           endpoint{route: "stock", path: "/stock"},
		order:            endpoint{route: "orders", path: "/confirmations"},
		faults:           faults,
	}
}

// demoFaults returns the reclaims of one engine and of one entry.
func demoFaults() []trace.Fault {
	return []trace.Fault{
		trace.NewReclaimFault(8*time.Second, "engine-2", 4*time.Second),
		trace.NewReclaimFault(13*time.Second, "entry-2", 6*time.Second),
	}
}

// domainReclaimFaults returns the reclaims of all engines of the first domain and of one entry within two seconds, and
// later of an engine in another domain.
func domainReclaimFaults(engines, domains int) []trace.Fault {
	var faults []trace.Fault
	at := 20 * time.Second
	for n := 1; n <= engines; n += domains {
		faults = append(faults, trace.NewReclaimFault(at, fmt.Sprintf("engine-%d", n), 5*time.Second))
		at += 300 * time.Millisecond
	}
	faults = append(faults, trace.NewReclaimFault(at, "entry-1", 6*time.Second))
	return append(faults, trace.NewReclaimFault(40*time.Second, "engine-2", 4*time.Second))
}
