package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a gateway that answers nothing any more after one event caused a panic.
func TestPanicInTheReducerDoesNotLockTheGateway(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testUpstream("a"))
	g := New(h.state, nil, discardLog{}, nil)
	func() {
		defer func() { is.True(recover() != nil) }()
		g.Post(CallArrived{}) // It has no call.
	}()
	ready := make(chan bool, 1)
	go func() { ready <- g.Ready() }()
	select {
	case got := <-ready:
		is.True(got)
	case <-time.After(time.Second):
		t.Fatal("the gateway is locked")
	}
}
