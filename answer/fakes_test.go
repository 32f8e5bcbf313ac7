package answer_test

import (
	"fmt"
	"slices"
	"strings"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
)

const (
	model   = "tin-writer"
	version = rail.Version("v1")
)

var (
	briefs  = rail.NewRoute("briefs", rail.RouteModel, model, true, version)
	lookups = rail.NewRoute("lookups", rail.RouteService, "stock", true, version)
	orders  = rail.NewRoute("orders", rail.RouteService, "till", false, version)
)

// directory is a list of upstreams that tests can change.
type directory struct{ upstreams []rail.Instance }

func (d *directory) Upstreams(serves string, v rail.Version) []rail.Instance {
	var found []rail.Instance
	for _, u := range d.upstreams {
		if u.Serves() == serves && u.Version() == v {
			found = append(found, u)
		}
	}
	return found
}

func (d *directory) remove(id rail.InstanceID) {
	d.upstreams = slices.DeleteFunc(slices.Clone(d.upstreams), func(u rail.Instance) bool { return u.ID() == id })
}

// chooser chooses any candidate that is not excluded.
type chooser struct{}

func (chooser) Choose(criteria rail.Criteria, candidates []rail.Instance, random uint64) (rail.Instance, bool) {
	for i := range candidates {
		c := candidates[(random+uint64(i))%uint64(len(candidates))]
		if !slices.Contains(criteria.Excluded(), c.ID()) {
			return c, true
		}
	}
	return rail.Instance{}, false
}

// picker always picks the stable version.
type picker struct{}

func (picker) Pick(route rail.Route, _ rail.RequestID) rail.Version { return route.Stable() }

func engineAt(id rail.InstanceID, domain rail.Domain) rail.Instance {
	return rail.NewInstance(id, domain, rail.RoleEngine, string(id)+":1").WithServing(model, version)
}

func newReducer(s answer.Settings, d *directory) *answer.Reducer {
	return answer.New(s, "breno", d, chooser{}, picker{})
}

// token returns the token at the offset of the deterministic answer to a prompt.
func token(prompt string, offset int) string { return fmt.Sprintf("%s.%d ", prompt, offset) }

// fullAnswer returns the text of an uninterrupted stream.
func fullAnswer(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(token(prompt, i))
	}
	return b.String()
}

func joinTokens(k answer.Snapshot) string { return strings.Join(k.Tokens(), "") }
