package upstream_test

import (
	"fmt"
	"strings"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/upstream"
)

func Example() {
	now := time.Unix(1_800_000_000, 0)
	reducer := upstream.New(upstream.Defaults(), "breno")
	candidates := []rail.Instance{
		rail.NewInstance("m1", "breno", rail.RoleEngine, "10.0.0.1:80"),
		rail.NewInstance("m2", "breno", rail.RoleEngine, "10.0.0.2:80"),
	}
	route := rail.NewRoute("drafting", rail.RouteModel, "tin-writer", true, "v1")
	brief := strings.Repeat("frame ", 200)
	first := rail.NewRequest("r1", "members", "drafting", now).WithPrompt(brief, 100)
	second := rail.NewRequest("r2", "members", "drafting", now).WithPrompt(brief+"for spring", 100)

	one, _ := reducer.Choose(rail.NewCriteria(first, route, "v1", "breno"), candidates, 1)
	reducer.Reduce(rail.NewInput(upstream.NewSent(first, one.ID()), now, 0))
	now = now.Add(time.Second)
	reducer.Reduce(rail.NewInput(upstream.NewEnded(first, one.ID()), now, 0))
	two, _ := reducer.Choose(rail.NewCriteria(second, route, "v1", "breno"), candidates, 2)
	fmt.Println("same upstream for the same prefix:", one.ID() == two.ID())
	// Output: same upstream for the same prefix: true
}
