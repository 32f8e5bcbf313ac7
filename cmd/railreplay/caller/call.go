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

// WithHold returns a copy that is sent so long after its ticket was issued.
func (c Call) WithHold(d time.Duration) Call { c.hold = d; return c }

// WithCopies returns a copy that is sent so many times at once under one claim.
func (c Call) WithCopies(n int) Call { c.copies = n; return c }

// NewLookup returns an idempotent call of the path below the route.
func NewLookup(token, route, path string) Call {
	return Call{token: token, method: http.MethodGet, route: route, path: path}
}

// NewOrder returns a non-idempotent call of the path below the route.
func NewOrder(token, route, path, body string) Call {
	return Call{token: token, method: http.MethodPost, route: route, path: path, body: body}
}

// claim is the header under which an order is repeated, empty for a lookup.
type claim struct {
	header string
	value  string
}

// calling is one call on its way.
type calling struct {
	client   *Client
	call     Call
	claim    claim
	location string
	unsure   bool
	unknowns int
	start    time.Time
	result   Result
}

// Lookup sends a call that may be repeated.
func (c *Client) Lookup(ctx context.Context, call Call) Result {
	return c.send(ctx, call, func(context.Context, *calling) bool { return true })
}

// OrderByTicket asks for a ticket and sends the order under it.
func (c *Client) OrderByTicket(ctx context.Context, call Call) Result {
	return c.send(ctx, call, func(ctx context.Context, o *calling) bool { return o.ticket(ctx) })
}

// OrderByKey sends the order under a new idempotency key.
func (c *Client) OrderByKey(ctx context.Context, call Call) Result {
	return c.send(ctx, call, func(_ context.Context, o *calling) bool {
		key, err := uuid.NewV7()
		o.claim = claim{header: headerKey, value: key.String()}
		return err == nil
	})
}

// send claims the call and tries it until it is answered or the deadline has passed.
func (c *Client) send(ctx context.Context, call Call, claim func(context.Context, *calling) bool) Result {
	ctx, cancel := context.WithTimeout(ctx, c.limits.Deadline)
	defer cancel()
	o := &calling{client: c, call: call, start: time.Now()}
	if claim(ctx, o) {
		o.tryAll(ctx)
	}
	if o.result.seen == NotRun && o.unsure {
		o.result.seen = Unknown // the last try was not run, but an earlier one may have been
	}
	o.result.total = time.Since(o.start)
	o.result.firstToken = o.result.total
	return o.result
}

// tryAll tries the call and its further copies until each is done; the caller sees the first one's answer.
func (o *calling) tryAll(ctx context.Context) {
	if !timer.Pause(ctx, o.call.hold) {
		o.result.seen = NotRun // it was never sent
		return
	}
	g := group.New(ctx)
	defer g.Wait()
	for range o.call.copies - 1 {
		twin := *o
		g.Go(func(ctx context.Context) {
			for !twin.try(ctx) {
			}
		})
	}
	for !o.try(ctx) {
	}
}

type ticketBody struct {
	Route string `json:"route"`
}

type ticketAnswer struct {
	Ticket string `json:"ticket"`
}

// ticket asks the entries for a ticket and reports whether it got one.
func (o *calling) ticket(ctx context.Context) bool {
	body, err := json.Marshal(ticketBody{Route: o.call.route})
	if err != nil {
		return false
	}
	for {
		var w reply
		r, err := o.client.request(ctx, http.MethodPost, o.client.next(), "/v1/tickets", o.call.token, string(body))
		if err == nil {
			w, err = o.client.whole(r)
		}
		if err == nil && w.status < http.StatusMultipleChoices {
			var a ticketAnswer
			if err := json.Unmarshal(w.body, &a); err != nil || a.Ticket == "" {
				o.result.seen, o.result.detail = Failed, "no ticket in the answer"
				return false
			}
			o.claim = claim{header: headerTicket, value: a.Ticket}
			return true
		}
		if err == nil && !worthRetry(w.status) {
			o.result.seen, o.result.detail = NotRun, describe(w)
			return false
		}
		if !pause(ctx, w.header) {
			o.result.seen = NotRun // the order itself was never sent
			return false
		}
	}
}

// try sends the call once and reports whether the caller is done.
func (o *calling) try(ctx context.Context) bool {
	w, err := o.once(ctx)
	if err != nil {
		o.result.detail = err.Error()
		o.unsure = true
		return o.retry(ctx, nil)
	}
	if id := w.header.Get(headerRequest); id != "" {
		o.result.request = id
	}
	switch run := w.header.Get(headerRun); {
	case w.status == http.StatusAccepted:
		o.location = path(w.header.Get(headerLocation))
		return o.retry(ctx, w.header)
	case w.status < http.StatusMultipleChoices:
		o.result.seen = Complete
		return true
	case run == runNotRun && worthRetry(w.status):
		o.result.detail = describe(w)
		return o.retry(ctx, w.header)
	case run == runNotRun:
		o.result.seen, o.result.detail = NotRun, describe(w)
		return true
	case run == runUnknown:
		o.result.detail = describe(w)
		return o.unknown(ctx, w)
	default:
		o.result.seen, o.result.detail = Failed, describe(w)
		return true
	}
}

// once sends the call, or asks for the answer at the location that an entry named.
func (o *calling) once(ctx context.Context) (reply, error) {
	entry, call := o.client.next(), o.call
	if o.location != "" {
		r, err := o.client.request(ctx, http.MethodGet, entry, o.location, call.token, "")
		if err != nil {
			return reply{}, err
		}
		return o.client.whole(r)
	}
	r, err := o.client.request(ctx, call.method, entry, "/s/"+url.PathEscape(call.route)+call.path, call.token, call.body)
	if err != nil {
		return reply{}, err
	}
	if o.claim.header != "" {
		r.Header.Set(o.claim.header, o.claim.value)
	}
	return o.client.whole(r)
}

// retry waits and reports whether the deadline has passed.
func (o *calling) retry(ctx context.Context, header http.Header) bool {
	o.result.retries++
	if pause(ctx, header) {
		return false
	}
	o.result.seen = TimedOut
	if header.Get(headerRun) == runNotRun {
		o.result.seen = NotRun
	}
	return true
}

// unknown asks again with the same claim, which can not run an order twice; a lookup is repeated until the deadline.
func (o *calling) unknown(ctx context.Context, w reply) bool {
	o.unknowns++
	o.unsure = true
	o.location = ""
	if o.claim.header != "" && o.unknowns > o.client.limits.MaxUnknownRetries {
		o.result.seen = Unknown
		return true
	}
	return o.retry(ctx, w.header)
}

func describe(w reply) string {
	return errors.Errorf("%d %s", w.status, strings.TrimSpace(string(w.body))).Error()
}

// path returns the path and query of a location, so that it can be asked for at any entry.
func path(location string) string {
	u, err := url.Parse(location)
	if err != nil {
		return ""
	}
	return u.RequestURI()
}
