package timer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/timer"
)

func TestSleep(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	is.True(timer.Sleep(ctx, time.Millisecond))
	cancel()
	is.True(!timer.Sleep(ctx, time.Hour))
}
