package timeline_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/timeline"
)

func TestRingKeepsLatestEvents(t *testing.T) {
	is := is.New(t)
	r := timeline.New("a", 3)
	for range 5 {
		r.Add(time.Unix(0, 0), rail.EventStarted, "a", "")
	}
	entries := r.Since(0)
	is.Equal(len(entries), 3)
	is.Equal(entries[0].Sequence(), uint64(2))
	is.Equal(len(r.Since(4)), 1)
}

func TestMergeOrdersCauseBeforeEffectDespiteClockSkew(t *testing.T) {
	is := is.New(t)
	cause, effect := timeline.New("z", 10), timeline.New("a", 10)
	server := httptest.NewServer(timeline.Handler(effect, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		// The receiver's wall clock is an hour behind.
		effect.Add(time.Unix(0, 0), rail.EventRequestAccepted, "effect", "")
	})))
	defer server.Close()
	cause.Add(time.Unix(3600, 0), rail.EventRequestAccepted, "cause", "")
	client := http.Client{Transport: timeline.Transport(cause, http.DefaultTransport)}
	response, err := client.Get(server.URL)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	cause.Add(time.Unix(3601, 0), rail.EventRequestDone, "after", "")
	merged := timeline.Merge(effect.Since(0), cause.Since(0))
	is.Equal(len(merged), 3)
	is.Equal(merged[0].Subject(), "cause")
	is.Equal(merged[1].Subject(), "effect")
	is.Equal(merged[2].Subject(), "after")
}
