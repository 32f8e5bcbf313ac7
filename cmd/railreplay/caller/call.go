package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"dandelionrail.org/rail/group"

	"dandelionrail.org/rail/timer"
)

// Call is a request to a service.
type Call struct {
	token  string
	method string
	route  string
	path   string
	body   string
	copies int
	hold   time.Duration
}

// WithHold returns a copy that is sent with a delay after its ticket was issued.
func (c Call) WithHold(d time.Duration) Call { c.hold = d; return c }

// WithCopies returns a copy that is sent n times concurrently under one claim.
func (c Call) WithCopies(n int) Call { c.copies = n; return c }

// NewLookup returns an idempotent call of the path below the route.
func NewLookup(token, route, path string) Call {
	return Call{token: token, method: http.MethodGet, route: route, path: path}
}

// NewOrder returns a non-idempotent call of the path below the route.
func NewOrder(token, route, path, body string) Call {
	return Call{token: token, method: http.MethodPost, route: route, path: path, body: body}
}

// claim is the header that identifies an order in all its repetitions, empty for a lookup.
type claim struct {
	header string
	value  string
}

// serviceCall is one call in progress.
type serviceCall struct {
	client       *Client
	call         Call
	claim        claim
	location     string
	mayHaveRun   bool
	unknownCount int
	start        time.Time
	result       Result
}

// Lookup sends an idempotent call.
func (c *Client) Lookup(ctx context.Context, call Call) Result {
	return c.send(ctx, call, func(context.Context, *serviceCall) bool { return true })
}

// OrderByTicket requests a ticket and sends the order under it.
func (c *Client) OrderByTicket(ctx context.Context, call Call) Result {
	return c.send(ctx, call, func(ctx context.Context, o *serviceCall) bool { return o.requestTicket(ctx) })
}

// OrderByKey sends the order under a new idempotency key.
func (c *Client) OrderByKey(ctx context.Context, call Call) Result {
	return c.send(ctx, call, func(_ context.Context, o *serviceCall) bool {
		key, err := uuid.NewV7()
		o.claim = claim{header: headerIdempotencyKey, value: key.String()}
		return err == nil
	})
}

// send claims the call and sends it until its outcome is final or the deadline has passed.
func (c *Client) send(ctx context.Context, call Call, claim func(context.Context, *serviceCall) bool) Result {
	ctx, cancel := context.WithTimeout(ctx, c.limits.Deadline)
	defer cancel()
	o := &serviceCall{client: c, call: call, start: time.Now()}
	if claim(ctx, o) {
		o.sendCopies(ctx)
	}
	if o.result.outcome == NotRun && o.mayHaveRun {
		o.result.outcome = Unknown // the last attempt was not run, but an earlier one may have been
	}
	o.result.total = time.Since(o.start)
	o.result.firstToken = o.result.total
	return o.result
}

// sendCopies sends the call and its copies until each is done; the result is that of the first one.
func (o *serviceCall) sendCopies(ctx context.Context) {
	if !timer.Sleep(ctx, o.call.hold) {
		o.result.outcome = NotRun // the order was never sent
		return
	}
	g := group.New(ctx)
	defer g.Wait()
	for range o.call.copies - 1 {
		duplicate := *o
		g.Go(func(ctx context.Context) {
			for !duplicate.try(ctx) {
			}
		})
	}
	for !o.try(ctx) {
	}
}

type ticketBody struct {
	Route string `json:"route"`
}

type ticketResponse struct {
	Ticket string `json:"ticket"`
}

// requestTicket requests a ticket from the entries and reports whether it got one.
func (o *serviceCall) requestTicket(ctx context.Context) bool {
	body, err := json.Marshal(ticketBody{Route: o.call.route})
	if err != nil {
		return false
	}
	for {
		var w reply
		r, err := o.client.newRequest(ctx, http.MethodPost, o.client.nextEntry(), "/v1/tickets", o.call.token, string(body))
		if err == nil {
			w, err = o.client.do(r)
		}
		if err == nil && w.status < http.StatusMultipleChoices {
			var a ticketResponse
			if err := json.Unmarshal(w.body, &a); err != nil || a.Ticket == "" {
				o.result.outcome, o.result.detail = Failed, "no ticket in the answer"
				return false
			}
			o.claim = claim{header: headerTicket, value: a.Ticket}
			return true
		}
		if err == nil && !retryable(w.status) {
			o.result.outcome, o.result.detail = NotRun, describe(w)
			return false
		}
		if !waitBackoff(ctx, w.header) {
			o.result.outcome = NotRun // the order itself was never sent
			return false
		}
	}
}

// try makes one attempt and reports whether the call is done.
func (o *serviceCall) try(ctx context.Context) bool {
	w, err := o.roundTrip(ctx)
	if err != nil {
		o.result.detail = err.Error()
		o.mayHaveRun = true
		return o.waitForRetry(ctx, nil)
	}
	if id := w.header.Get(headerRequestID); id != "" {
		o.result.requestID = id
	}
	switch run := w.header.Get(headerRun); {
	case w.status == http.StatusAccepted:
		o.location = requestURI(w.header.Get(headerLocation))
		return o.waitForRetry(ctx, w.header)
	case w.status < http.StatusMultipleChoices:
		o.result.outcome = Complete
		return true
	case run == runNotRun && retryable(w.status):
		o.result.detail = describe(w)
		return o.waitForRetry(ctx, w.header)
	case run == runNotRun:
		o.result.outcome, o.result.detail = NotRun, describe(w)
		return true
	case run == runUnknown:
		o.result.detail = describe(w)
		return o.handleUnknown(ctx, w)
	default:
		o.result.outcome, o.result.detail = Failed, describe(w)
		return true
	}
}

// roundTrip sends the call, or fetches its answer at the location that an entry returned.
func (o *serviceCall) roundTrip(ctx context.Context) (reply, error) {
	entry, call := o.client.nextEntry(), o.call
	if o.location != "" {
		r, err := o.client.newRequest(ctx, http.MethodGet, entry, o.location, call.token, "")
		if err != nil {
			return reply{}, err
		}
		return o.client.do(r)
	}
	r, err := o.client.newRequest(ctx, call.method, entry, "/s/"+url.PathEscape(call.route)+call.path, call.token, call.body)
	if err != nil {
		return reply{}, err
	}
	if o.claim.header != "" {
		r.Header.Set(o.claim.header, o.claim.value)
	}
	return o.client.do(r)
}

// waitForRetry waits for the next attempt and reports whether the call is done because the deadline has passed.
func (o *serviceCall) waitForRetry(ctx context.Context, header http.Header) bool {
	o.result.retries++
	if waitBackoff(ctx, header) {
		return false
	}
	o.result.outcome = TimedOut
	if header.Get(headerRun) == runNotRun {
		o.result.outcome = NotRun
	}
	return true
}

// handleUnknown repeats the call with the same claim, which cannot run an order twice, up to the limit; a lookup is
// repeated until the deadline.
func (o *serviceCall) handleUnknown(ctx context.Context, w reply) bool {
	o.unknownCount++
	o.mayHaveRun = true
	o.location = ""
	if o.claim.header != "" && o.unknownCount > o.client.limits.MaxUnknownRetries {
		o.result.outcome = Unknown
		return true
	}
	return o.waitForRetry(ctx, w.header)
}

func describe(w reply) string {
	return errors.Errorf("%d %s", w.status, strings.TrimSpace(string(w.body))).Error()
}

// requestURI returns the path and query of a location, so that it can be fetched from any entry.
func requestURI(location string) string {
	u, err := url.Parse(location)
	if err != nil {
		return ""
	}
	return u.RequestURI()
}
