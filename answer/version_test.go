package answer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
)

// newVersionPicker picks the new version for every request.
type newVersionPicker struct{}

func (newVersionPicker) Pick(rail.Route, rail.RequestID) rail.Version { return "v2" }

// A faulty new version must not use up all attempts of a request: after one failure the stable version is tried first.
func TestRequestGoesToTheStableVersionAfterAFailure(t *testing.T) {
	tests := []struct {
		name string
		kind rail.Kind
	}{
		{"silent", rail.KindUpstreamSilent},
		{"failed", rail.KindUpstreamFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(0, 0)
			newVersion := rail.NewInstance("new", "breno", rail.RoleEngine, "new:1").WithServing(model, "v2")
			d := &directory{upstreams: []rail.Instance{newVersion, engineAt("old", "breno")}}
			reducer := answer.New(answer.Defaults(), "breno", d, chooser{}, newVersionPicker{})
			r := rail.NewRequest("r1", "shop", briefs.Name(), now).WithPrompt("r1", 100)
			first, ok := lastOf[rail.Dispatch](reducer.Reduce(rail.NewInput(answer.NewAccepted(r, briefs), now, 1)))
			is.True(ok)
			is.Equal(first.Upstream().ID(), rail.InstanceID("new"))
			effects := reducer.Reduce(rail.NewInput(answer.NewFailed("r1", 1, tt.kind, 0), now, 1))
			for i := 0; i < 100 && countOf[rail.Dispatch](effects) == 0; i++ {
				timer, ok := lastOf[rail.SetTimer](effects)
				is.True(ok)
				now = now.Add(timer.After())
				effects = reducer.Reduce(rail.NewInput(rail.NewTimerFired(timer.Name()), now, 1))
			}
			second, ok := lastOf[rail.Dispatch](effects)
			is.True(ok)
			is.Equal(second.Upstream().ID(), rail.InstanceID("old"))
		})
	}
}
