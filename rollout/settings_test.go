package rollout

import (
	"testing"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

func TestDefaultsAreValid(t *testing.T) {
	is := is.New(t)
	is.NoErr(Defaults().Validate())
	is.Equal(rail.KindOf(Defaults().WithSteps().Validate()), rail.KindBadSettings)
	is.Equal(rail.KindOf(Defaults().WithSteps(NewStep(0.5, 0.1), NewStep(0.2, 0.1)).Validate()), rail.KindBadSettings)
}
