package team_test

import (
	"fmt"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/team"
)

func Example() {
	now := time.Unix(1_800_000_000, 0)
	route := rail.NewRoute("drafting", rail.RouteModel, "tin-writer", true, "v1")
	teams := []rail.Team{rail.NewTeam("counter", "", 0.5, 3), rail.NewTeam("office", "", 0.1, 1)}
	reducer := team.New(team.Defaults(), "e1")
	reduce := func(e rail.Event) {
		for _, effect := range reducer.Reduce(rail.NewInput(e, now, 0)) {
			if a, ok := effect.(team.Admitted); ok {
				fmt.Println("admitted", a.Call())
			}
		}
	}
	reduce(rail.NewDocumentInForce(rail.NewDocument("production", 1, teams, nil, nil, "")))
	reduce(rail.NewListRead([]rail.Instance{rail.NewInstance("m1", "breno", rail.RoleEngine, "").WithServing("tin-writer", "v1")}))
	reduce(rail.NewLoadRead(rail.NewLoad("m1", 0, 0, 2, now)))
	for _, id := range []rail.RequestID{"office1", "office2", "office3"} {
		reduce(team.NewArrived(rail.NewRequest(id, "office", "drafting", now), route))
	}
	reduce(team.NewArrived(rail.NewRequest("counter1", "counter", "drafting", now), route))
	reduce(team.NewEnded("office1")) // the next slot goes to the owner of the share
	// Output:
	// admitted office1
	// admitted office2
	// admitted counter1
}
