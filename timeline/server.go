package timeline

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/gen/railv1"
	"dandelionrail.org/rail/gen/railv1/railv1connect"
)

// clockHeader carries the Lamport clock of the sender.
const clockHeader = "Rail-Clock"

// Server serves the events of a ring.
type Server struct{ ring *Ring }

// NewServer returns the server of the ring.
func NewServer(ring *Ring) *Server { return &Server{ring: ring} }

// Handler returns the path and handler to mount on the control listener.
func (s *Server) Handler() (string, http.Handler) {
	return railv1connect.NewTimelineServiceHandler(s)
}

// Timeline implements railv1connect.TimelineServiceHandler.
func (s *Server) Timeline(_ context.Context, r *connect.Request[railv1.TimelineRequest]) (*connect.Response[railv1.TimelineResponse], error) {
	response := &railv1.TimelineResponse{}
	for _, e := range s.ring.Since(r.Msg.GetFrom()) {
		response.Events = append(response.Events, &railv1.TimelineEvent{
			Process:    e.process,
			Sequence:   e.sequence,
			Clock:      e.clock,
			UnixMicros: e.at.UnixMicro(),
			Number:     int32(e.number),
			Subject:    e.subject,
			Detail:     e.detail,
		})
	}
	return connect.NewResponse(response), nil
}

// Fetch returns the events, from the sequence number on, of the process whose control listener is at the URL.
func Fetch(ctx context.Context, client *http.Client, url string, from uint64) ([]Entry, error) {
	c := railv1connect.NewTimelineServiceClient(client, url)
	response, err := c.Timeline(ctx, connect.NewRequest(&railv1.TimelineRequest{From: from}))
	if err != nil {
		return nil, rail.WrapError(err, rail.KindNotReady, "timeline.Fetch: "+url)
	}
	var entries []Entry
	for _, e := range response.Msg.GetEvents() {
		entries = append(entries, NewEntry(e.GetProcess(), e.GetSequence(), e.GetClock(), time.UnixMicro(e.GetUnixMicros()),
			rail.EventNumber(e.GetNumber()), e.GetSubject(), e.GetDetail()))
	}
	return entries, nil
}

// Transport returns a round tripper that sends the ring's Lamport clock with each request and applies the clock of each response.
func Transport(ring *Ring, base http.RoundTripper) http.RoundTripper {
	return transport{ring: ring, base: base}
}

type transport struct {
	ring *Ring
	base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(clockHeader, strconv.FormatUint(t.ring.Tick(), 10))
	response, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	witnessHeader(t.ring, response.Header)
	return response, nil
}

// Handler returns a handler that applies the Lamport clock of each request and sends the ring's clock with each response.
func Handler(ring *Ring, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		witnessHeader(ring, r.Header)
		w.Header().Set(clockHeader, strconv.FormatUint(ring.Tick(), 10))
		next.ServeHTTP(w, r)
	})
}

func witnessHeader(ring *Ring, h http.Header) {
	if clock, err := strconv.ParseUint(h.Get(clockHeader), 10, 64); err == nil {
		ring.Witness(clock)
	}
}
