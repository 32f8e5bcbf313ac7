package gateway

import "io"

// transfer counts the bytes of an attempt between the failure domains of gateway and upstream.
type transfer struct {
	metrics  Metrics
	from, to string
	bytes    int64
	body     io.ReadCloser
	copyFrom string
	copied   int64
}

// startTransfer returns the transfer of an attempt, which sends the request's body.
func (g *Gateway) startTransfer(e Send) *transfer {
	return &transfer{
		metrics: g.metrics, from: g.domain, to: e.upstream.domain, bytes: int64(len(e.call.message.body)),
		copyFrom: e.copyFrom, copied: e.copyBytes,
	}
}

// count makes the transfer count the body of the answer.
func (t *transfer) count(a *Answer) { t.body, a.body = a.body, t }

// Read reads from the body.
func (t *transfer) Read(p []byte) (int, error) {
	n, err := t.body.Read(p)
	t.bytes += int64(n)
	return n, err //nolint:wrapcheck // The reader of the body sees its errors.
}

// Close closes the body.
func (t *transfer) Close() error {
	return t.body.Close() //nolint:wrapcheck // As Read.
}

// record adds the transfer to the metrics. That a copy is made is assumed: engines do not report it.
func (t *transfer) record() {
	t.metrics.Routed(t.from, t.to, 1, t.bytes)
	if t.copied > 0 && t.copyFrom != t.to {
		t.metrics.Routed(t.copyFrom, t.to, 0, t.copied)
	}
}
