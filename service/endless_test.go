package service_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/group"
	"dandelionrail.org/rail/service"
	"dandelionrail.org/rail/standin"
)

func TestHeadsWithoutEndFailAtOnce(t *testing.T) {
	for name, c := range standin.EndlessHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := group.New(context.Background())
			e, err := standin.NewEndless(g, c[0], c[1])
			is.NoErr(err)
			began := time.Now()
			_, err = service.New(service.Defaults()).Load(context.Background(), rail.NewInstance("i-1", "north", rail.RoleService, e.Address()))
			is.Equal(rail.KindOf(err), rail.KindUpstreamFailed)
			is.True(time.Since(began) < time.Second) // The call did not wait for its deadline.
			is.NoErr(e.Close())
			g.Stop()
			is.True(e.Sent() < 8<<20)
		})
	}
}
