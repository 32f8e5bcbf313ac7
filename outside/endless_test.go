package outside_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/group"
	"dandelionrail.org/rail/outside"
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
			_, err = outside.New("http://"+e.Address(), &http.Client{Transport: outside.Transport()}).Instances(context.Background())
			is.Equal(rail.KindOf(err), rail.KindPlatformUnavailable)
			is.True(time.Since(began) < time.Second) // The call did not wait for its deadline.
			is.NoErr(e.Close())
			g.Stop()
			is.True(e.Sent() < 8<<20)
		})
	}
}
