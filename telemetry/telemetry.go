package telemetry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"dandelionrail.org/rail"
)

// durationBuckets are the upper bounds of the histogram buckets in seconds, with finer steps around the latency targets.
var durationBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.83, 1, 2.5, 5, 10, 30, 60, 120}

// Telemetry holds the instruments of one process.
type Telemetry struct {
	registry   *prometheus.Registry
	requests   metric.Int64Counter
	duration   metric.Float64Histogram
	firstToken metric.Float64Histogram
	tokens     metric.Int64Counter
	attempts   metric.Int64Counter
	moves      metric.Int64Counter
	dropped    metric.Int64Counter
	upstreams  metric.Int64Gauge
	refused    metric.Int64Counter
	// routedRequests and routedBytes are counted by pair of failure domains.
	routedRequests, routedBytes metric.Int64Counter
	// spilloverShare is the share of a service's requests that is sent to a failure domain; the others are its inputs.
	spilloverShare, spilloverCapacity, spilloverRunning, spilloverWait metric.Float64Gauge
	queued                                                             metric.Int64Gauge
	queueWait                                                          metric.Float64Histogram
}

// New returns the instruments, registered in a registry of their own.
func New() (*Telemetry, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Wrap(err, "telemetry.New")
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(reader)).Meter("dandelionrail.org/rail")
	t := &Telemetry{registry: registry}
	for _, c := range []struct {
		counter    *metric.Int64Counter
		name, unit string
	}{
		{&t.requests, "rail.requests", "{request}"},
		{&t.tokens, "rail.tokens", "{token}"},
		{&t.attempts, "rail.attempts", "{attempt}"},
		{&t.moves, "rail.stream.moves", "{stream}"},
		{&t.dropped, "rail.dropped", "{event}"},
		{&t.refused, "rail.intake.refused", "{item}"},
		{&t.routedRequests, "rail.domain.requests", "{request}"},
		{&t.routedBytes, "rail.domain.bytes", "By"},
	} {
		if *c.counter, err = meter.Int64Counter(c.name, metric.WithUnit(c.unit)); err != nil {
			return nil, errors.Wrap(err, "telemetry.New: "+c.name)
		}
	}
	for _, h := range []struct {
		histogram *metric.Float64Histogram
		name      string
	}{
		{&t.duration, "rail.request.duration"},
		{&t.firstToken, "rail.first_token.duration"},
		{&t.queueWait, "rail.queue.wait"},
	} {
		if *h.histogram, err = meter.Float64Histogram(h.name, metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(durationBuckets...)); err != nil {
			return nil, errors.Wrap(err, "telemetry.New: "+h.name)
		}
	}
	if t.upstreams, err = meter.Int64Gauge("rail.upstreams", metric.WithUnit("{upstream}")); err != nil {
		return nil, errors.Wrap(err, "telemetry.New: rail.upstreams")
	}
	for _, x := range []struct {
		gauge      *metric.Float64Gauge
		name, unit string
	}{
		{&t.spilloverShare, "rail.spillover.share", "1"},
		{&t.spilloverCapacity, "rail.spillover.capacity", "{request}"},
		{&t.spilloverRunning, "rail.spillover.running", "{request}"},
		{&t.spilloverWait, "rail.spillover.wait", "s"},
	} {
		if *x.gauge, err = meter.Float64Gauge(x.name, metric.WithUnit(x.unit)); err != nil {
			return nil, errors.Wrap(err, "telemetry.New: "+x.name)
		}
	}
	if t.queued, err = meter.Int64Gauge("rail.queue.length", metric.WithUnit("{request}")); err != nil {
		return nil, errors.Wrap(err, "telemetry.New: rail.queue.length")
	}
	return t, nil
}

// Handler serves the metrics in the Prometheus text format.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// RequestDone counts a finished request and records its duration.
func (t *Telemetry) RequestDone(route rail.RouteName, kind rail.Kind, duration time.Duration) {
	result := string(kind)
	if kind == rail.KindNone {
		result = "ok"
	}
	attributes := metric.WithAttributes(attribute.String("route", string(route)), attribute.String("result", result))
	t.requests.Add(context.Background(), 1, attributes)
	t.duration.Record(context.Background(), duration.Seconds(), attributes)
}

// FirstToken records the time to the first token of a request.
func (t *Telemetry) FirstToken(route rail.RouteName, elapsed time.Duration) {
	t.firstToken.Record(context.Background(), elapsed.Seconds(), metric.WithAttributes(attribute.String("route", string(route))))
}

// QueueLength records the number of requests for a service that wait.
func (t *Telemetry) QueueLength(service string, n int) {
	t.queued.Record(context.Background(), int64(n), metric.WithAttributes(attribute.String("service", service)))
}

// QueueLeft counts a request that left the queue for a service, or was not queued, for a reason, and records its wait.
func (t *Telemetry) QueueLeft(service, reason string, priority int, waited time.Duration) {
	t.queueWait.Record(context.Background(), waited.Seconds(),
		metric.WithAttributes(attribute.String("service", service), attribute.String("reason", reason), attribute.Int("priority", priority)))
}

// Tokens counts tokens delivered to callers.
func (t *Telemetry) Tokens(n int) { t.tokens.Add(context.Background(), int64(n)) }

// Attempt counts an attempt dispatched to an upstream.
func (t *Telemetry) Attempt(route rail.RouteName) {
	t.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("route", string(route))))
}

// StreamMoved counts a stream that goes on at another upstream, by the cause and by how the run at the upstream before was seen to end.
func (t *Telemetry) StreamMoved(cause, ending string) {
	t.moves.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", cause), attribute.String("ending", ending)))
}

// Dropped counts an event that was dropped because a bounded queue was full.
func (t *Telemetry) Dropped(queue string) {
	t.dropped.Add(context.Background(), 1, metric.WithAttributes(attribute.String("queue", queue)))
}

// Upstreams records how many upstreams of a service the demand requires after the loss of a failure domain, how many the lease holder has
// ordered and how many serve.
func (t *Telemetry) Upstreams(service string, required, ordered, present int) {
	for number, n := range map[string]int{"required": required, "ordered": ordered, "present": present} {
		t.upstreams.Record(context.Background(), int64(n), metric.WithAttributes(attribute.String("service", service), attribute.String("number", number)))
	}
}

// Refused counts request heads or connections that were refused or closed for the reason.
func (t *Telemetry) Refused(reason string, n int64) {
	if n > 0 {
		t.refused.Add(context.Background(), n, metric.WithAttributes(attribute.String("reason", reason)))
	}
}

// Routed counts requests and bytes from one failure domain to another.
func (t *Telemetry) Routed(from, to string, requests, bytes int64) {
	attributes := metric.WithAttributes(attribute.String("from", from), attribute.String("to", to))
	t.routedRequests.Add(context.Background(), requests, attributes)
	t.routedBytes.Add(context.Background(), bytes, attributes)
}

// SpilloverShare shows the share of a service's requests that is sent to the failure domain.
func (t *Telemetry) SpilloverShare(service, domain string, share float64) {
	t.spilloverShare.Record(context.Background(), share, serviceDomain(service, domain))
}

// SpilloverInputs shows the inputs of a service's shares in a failure domain.
func (t *Telemetry) SpilloverInputs(service, domain string, capacity, running float64, wait time.Duration) {
	attributes := serviceDomain(service, domain)
	t.spilloverCapacity.Record(context.Background(), capacity, attributes)
	t.spilloverRunning.Record(context.Background(), running, attributes)
	t.spilloverWait.Record(context.Background(), wait.Seconds(), attributes)
}

func serviceDomain(service, domain string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("service", service), attribute.String("domain", domain))
}
