package operator

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/document"
	"dandelionrail.org/rail/gen/railv1"
	"dandelionrail.org/rail/gen/railv1/railv1connect"
	"dandelionrail.org/rail/peer"
	"dandelionrail.org/rail/rollout"
)

const (
	// publishTimeout bounds a publication with all its retries.
	publishTimeout = 10 * time.Second
	// waitKnownTimeout is how long a publication waits for a recently started entry to learn the latest accepted version.
	waitKnownTimeout = 5 * time.Second
	// decisionTimeout is how long a publication may take to be read back from the log before it is appended again.
	decisionTimeout = 2 * time.Second
	// retryDelay is the time between two queries of the latest version and between two appends.
	retryDelay = 200 * time.Millisecond
	// maxRequestBytes bounds a request of an operator.
	maxRequestBytes = 1 << 20
)

// Options are the options for railv1connect.NewOperatorServiceHandler.
func Options() connect.HandlerOption { return connect.WithReadMaxBytes(maxRequestBytes) }

// Server serves the operator API of an entry.
type Server struct {
	environment string
	log         rail.Log
	mailbox     rail.Mailbox
}

var _ railv1connect.OperatorServiceHandler = (*Server)(nil)

// NewServer returns a handler for railv1connect.NewOperatorServiceHandler.
func NewServer(environment string, log rail.Log, mailbox rail.Mailbox) *Server {
	return &Server{environment: environment, log: log, mailbox: mailbox}
}

// Publish checks a document and appends it to the log on top of its base.
func (s *Server) Publish(ctx context.Context, r *connect.Request[railv1.PublishRequest]) (*connect.Response[railv1.PublishResponse], error) {
	d, faults := document.Parse(r.Msg.GetSource())
	if len(faults) > 0 {
		return connect.NewResponse(&railv1.PublishResponse{Faults: faultMessages(faults)}), nil
	}
	if d.Environment() != s.environment {
		return nil, peer.ConnectError(rail.NewError(rail.KindBadDocument, "the document is for environment %s, this entry belongs to %s", d.Environment(), s.environment))
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if err := s.publish(ctx, d, r.Msg.GetBase()); err != nil {
		return nil, peer.ConnectError(err)
	}
	return connect.NewResponse(&railv1.PublishResponse{Number: r.Msg.GetBase() + 1}), nil
}

// publish returns nil once the document was read back from the log as the first one for the base.
func (s *Server) publish(ctx context.Context, d rail.Document, base uint64) error {
	result, err := s.waitUntilKnown(ctx)
	if err != nil {
		return err
	}
	number := result.Document().Number()
	if base > number {
		return rail.NewError(rail.KindStaleBase, "base %d is not in force here, %d is", base, number)
	}
	body, err := document.NewPublication(d, base)
	if err != nil {
		return rail.WrapError(err, rail.KindInternal, "publication")
	}
	return s.appendUntilDecided(ctx, d, base, body, base == number)
}

// waitUntilKnown waits until this entry knows which version was accepted last; a recently started entry does not.
func (s *Server) waitUntilKnown(ctx context.Context) (document.QueryResult, error) {
	ctx, cancel := context.WithTimeout(ctx, waitKnownTimeout)
	defer cancel()
	for ctx.Err() == nil {
		call := newCall()
		result, err := ask[document.QueryResult](ctx, s.mailbox, call, document.NewQuery(call))
		if err != nil || result.Known() {
			return result, err
		}
		sleep(ctx, retryDelay)
	}
	return document.QueryResult{}, rail.NewError(rail.KindNotReady, "this entry does not know yet which version was accepted last")
}

// appendUntilDecided appends the publication, and appends it again if it is not read back in time;
// the readers of the log apply only the first publication for a base. A base that is no longer in force
// needs no append, since the decision is already in the log.
func (s *Server) appendUntilDecided(ctx context.Context, d rail.Document, base uint64, body []byte, baseInForce bool) error {
	var lastErr error
	for ctx.Err() == nil {
		if baseInForce {
			if _, err := s.log.Append(ctx, rail.RecordDocument, body); err != nil {
				lastErr = err
			}
		}
		accepted, err := s.awaitDecision(ctx, d, base)
		if err == nil {
			if !accepted {
				return rail.NewError(rail.KindStaleBase, "another document was accepted on top of %d", base)
			}
			return nil
		}
		if !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
		sleep(ctx, retryDelay)
	}
	return rail.WrapError(lastErr, rail.KindPlatformUnavailable, "not read back in time; it may still be accepted, send it again or ask for the status")
}

// awaitDecision waits for the decision on the base and reports whether the document was accepted.
func (s *Server) awaitDecision(ctx context.Context, d rail.Document, base uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	call := newCall()
	decision, err := ask[document.PublicationDecided](ctx, s.mailbox, call, document.NewPublicationAwaited(call, base, d.Source()))
	return decision.Accepted(), err
}

// GetDocument returns the document in force.
func (s *Server) GetDocument(ctx context.Context, _ *connect.Request[railv1.GetDocumentRequest]) (*connect.Response[railv1.GetDocumentResponse], error) {
	call := newCall()
	result, err := ask[document.QueryResult](ctx, s.mailbox, call, document.NewQuery(call))
	if err != nil {
		return nil, peer.ConnectError(err)
	}
	d := result.Document()
	return connect.NewResponse(&railv1.GetDocumentResponse{Number: d.Number(), Source: d.Source()}), nil
}

// Status returns the version in force at each entry.
func (s *Server) Status(ctx context.Context, _ *connect.Request[railv1.StatusRequest]) (*connect.Response[railv1.StatusResponse], error) {
	call := newCall()
	status, err := ask[QueryResult](ctx, s.mailbox, call, NewQuery(call))
	if err != nil {
		return nil, peer.ConnectError(err)
	}
	m := &railv1.StatusResponse{Number: status.document.Number(), Environment: s.environment, Domains: domainMessages(status.entries)}
	return connect.NewResponse(m), nil
}

// Rollouts returns the state of all rollouts.
func (s *Server) Rollouts(ctx context.Context, _ *connect.Request[railv1.RolloutsRequest]) (*connect.Response[railv1.RolloutsResponse], error) {
	call := newCall()
	status, err := ask[QueryResult](ctx, s.mailbox, call, NewQuery(call))
	if err != nil {
		return nil, peer.ConnectError(err)
	}
	m := &railv1.RolloutsResponse{}
	for _, r := range status.rollouts {
		m.Rollouts = append(m.Rollouts, rolloutMessage(r, status.document))
	}
	return connect.NewResponse(m), nil
}

func faultMessages(faults []document.Fault) []*railv1.DocumentFault {
	messages := make([]*railv1.DocumentFault, 0, len(faults))
	for _, f := range faults {
		messages = append(messages, &railv1.DocumentFault{Line: int32(f.Line()), Message: f.Message()})
	}
	return messages
}

// domainMessages groups entries by domain; they must be sorted by domain.
func domainMessages(entries []EntryStatus) []*railv1.DomainStatus {
	var domains []*railv1.DomainStatus
	for _, e := range entries {
		name := string(e.instance.Domain())
		if len(domains) == 0 || domains[len(domains)-1].GetDomain() != name {
			domains = append(domains, &railv1.DomainStatus{Domain: name})
		}
		last := domains[len(domains)-1]
		heardMs := e.sinceReceived.Milliseconds()
		if e.sinceReceived == neverReceived {
			heardMs = -1
		}
		last.Entries = append(last.Entries, &railv1.EntryStatus{Id: string(e.instance.ID()), Number: e.number, HeardMs: heardMs})
	}
	return domains
}

func rolloutMessage(r rollout.Status, d rail.Document) *railv1.RolloutStatus {
	state := string(r.Verdict())
	if r.Verdict() == rollout.OutcomeNone {
		state = "running"
		if r.Braked() {
			state = "braked"
		}
	}
	m := &railv1.RolloutStatus{Route: string(r.Route()), Version: string(r.Version()), Share: r.Share(), State: state, Reason: r.Reason()}
	if planned, ok := d.Rollout(r.Route()); ok {
		m.DeadlineUnixMs = planned.Deadline().UnixMilli()
	}
	for _, domain := range r.UnreachableDomains() {
		m.CutOff = append(m.CutOff, string(domain))
	}
	return m
}

func newCall() rail.RequestID { return rail.RequestID("operator-" + uuid.NewString()) }

// ask sends the event to the reducer and waits for an effect of type T.
func ask[T rail.CallEffect](ctx context.Context, mailbox rail.Mailbox, call rail.RequestID, e rail.Event) (T, error) {
	var zero T
	effect, err := mailbox.Ask(ctx, call, e)
	if err != nil {
		return zero, err
	}
	result, ok := effect.(T)
	if !ok {
		return zero, rail.NewError(rail.KindInternal, "unexpected %s", effect.EffectName())
	}
	return result, nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
