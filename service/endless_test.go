package service_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/service"
	"dandelionrail.org/rail/standin"
)

func TestHeadsWithoutEndFailAtOnce(t *testing.T) {
	for name, c := range standin.EndlessHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			took, sent, err := standin.CallEndless(c[0], c[1], func(address string) error {
				_, err := service.New(service.Defaults()).Load(context.Background(), rail.NewInstance("i-1", "north", rail.RoleService, address))
				return err
			})
			is.Equal(rail.KindOf(err), rail.KindUpstreamFailed)
			is.True(took < time.Second) // The call did not wait for its deadline.
			is.True(sent < 8<<20)
		})
	}
}
