package fleet_test

import (
	"fmt"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/fleet"
)

func ExamplePlan() {
	options := []fleet.Pool{
		fleet.NewPool("breno", rail.ClassReclaimable, 0.40).WithInstances(3),
		fleet.NewPool("edolo", rail.ClassReclaimable, 0.45).WithRefused(),
		fleet.NewPool("edolo", rail.ClassOnDemand, 1.00),
		fleet.NewPool("darfo", rail.ClassReclaimable, 0.50).WithReclaimRate(0.2),
	}
	for _, c := range fleet.Plan(3, options, 6*time.Minute) {
		fmt.Println(c.Pool().Domain(), c.Pool().Class(), c.Count())
	}
	// Output:
	// darfo reclaimable 3
}
