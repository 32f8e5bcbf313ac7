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
	// publishTimeout bounds a publication.
	publishTimeout = 10 * time.Second
	// knownTimeout is how long a publication waits for an entry that has just started.
	knownTimeout = 5 * time.Second
	// decideTimeout is how long a publication may take to be read back before it is appended again.
	decideTimeout = 2 * time.Second
	// appendRetry is the wait after a refused append.
	appendRetry = 200 * time.Millisecond
	// maxRequestBytes bounds a request of an operator.
	maxRequestBytes = 1 << 20
)

// Options are the options for railv1connect.NewOperatorServiceHandler.
func Options() connect.HandlerOption { return connect.WithReadMaxBytes(maxRequestBytes) }

// Server answers operators on an entry.
type Server struct {
	environment string
	log         rail.Log
	desk        rail.Mailbox
}

var _ railv1connect.OperatorServiceHandler = (*Server)(nil)

// NewServer returns a handler for railv1connect.NewOperatorServiceHandler.
func NewServer(environment string, log rail.Log, desk rail.Mailbox) *Server {
	return &Server{environment: environment, log: log, desk: desk}
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

// publish returns nil once the document was read back as the first one for the base.
func (s *Server) publish(ctx context.Context, d rail.Document, base uint64) error {
	given, err := s.known(ctx)
	if err != nil {
		return err
	}
	number := given.Document().Number()
	if base > number {
		return rail.NewError(rail.KindStaleBase, "base %d is not in force here, %d is", base, number)
	}
	body, err := document.NewPublication(d, base)
	if err != nil {
		return rail.WrapError(err, rail.KindInternal, "publication")
	}
	return s.untilDecided(ctx, d, base, body, base == number)
}

// known waits until this entry knows which version was accepted last, as one that has just started does not.
func (s *Server) known(ctx context.Context) (document.QueryResult, error) {
	ctx, cancel := context.WithTimeout(ctx, knownTimeout)
	defer cancel()
	for ctx.Err() == nil {
		call := newCall()
		given, err := ask[document.QueryResult](ctx, s.desk, call, document.NewQuery(call))
		if err != nil || given.Known() {
			return given, err
		}
		wait(ctx, appendRetry)
	}
	return document.QueryResult{}, rail.NewError(rail.KindNotReady, "this entry does not know yet which version was accepted last")
}

// untilDecided appends the publication, and again if it is not read back in time; the log's readers take only the first.
func (s *Server) untilDecided(ctx context.Context, d rail.Document, base uint64, body []byte, open bool) error {
	var last error
	for ctx.Err() == nil {
		if open {
			if _, err := s.log.Append(ctx, rail.RecordDocument, body); err != nil {
				last = err
			}
		}
		won, err := s.decided(ctx, d, base)
		if err == nil {
			if !won {
				return rail.NewError(rail.KindStaleBase, "another document was accepted on top of %d", base)
			}
			return nil
		}
		if !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
		wait(ctx, appendRetry)
	}
	return rail.WrapError(last, rail.KindPlatformUnavailable, "not read back in time; it may still be accepted, send it again or ask for the status")
}

// decided waits a while for the decision on the base.
func (s *Server) decided(ctx context.Context, d rail.Document, base uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, decideTimeout)
	defer cancel()
	call := newCall()
	decided, err := ask[document.PublicationDecided](ctx, s.desk, call, document.NewPublicationAwaited(call, base, d.Source()))
	return decided.Accepted(), err
}

// GetDocument gives out the document in force.
func (s *Server) GetDocument(ctx context.Context, _ *connect.Request[railv1.GetDocumentRequest]) (*connect.Response[railv1.GetDocumentResponse], error) {
	call := newCall()
	given, err := ask[document.QueryResult](ctx, s.desk, call, document.NewQuery(call))
	if err != nil {
		return nil, peer.ConnectError(err)
	}
	d := given.Document()
	return connect.NewResponse(&railv1.GetDocumentResponse{Number: d.Number(), Source: d.Source()}), nil
}

// Status tells which version is in force at each entry.
func (s *Server) Status(ctx context.Context, _ *connect.Request[railv1.StatusRequest]) (*connect.Response[railv1.StatusResponse], error) {
	call := newCall()
	answered, err := ask[QueryResult](ctx, s.desk, call, NewQuery(call))
	if err != nil {
		return nil, peer.ConnectError(err)
	}
	m := &railv1.StatusResponse{Number: answered.document.Number(), Environment: s.environment, Domains: domainMessages(answered.entries)}
	return connect.NewResponse(m), nil
}

// Rollouts tells how far the rollouts are.
func (s *Server) Rollouts(ctx context.Context, _ *connect.Request[railv1.RolloutsRequest]) (*connect.Response[railv1.RolloutsResponse], error) {
	call := newCall()
	answered, err := ask[QueryResult](ctx, s.desk, call, NewQuery(call))
	if err != nil {
		return nil, peer.ConnectError(err)
	}
	m := &railv1.RolloutsResponse{}
	for _, r := range answered.rollouts {
		m.Rollouts = append(m.Rollouts, rolloutMessage(r, answered.document))
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

// domainMessages groups entries that are in order of their domains.
func domainMessages(entries []EntryStatus) []*railv1.DomainStatus {
	var domains []*railv1.DomainStatus
	for _, e := range entries {
		name := string(e.instance.Domain())
		if len(domains) == 0 || domains[len(domains)-1].GetDomain() != name {
			domains = append(domains, &railv1.DomainStatus{Domain: name})
		}
		last := domains[len(domains)-1]
		heard := e.silent.Milliseconds()
		if e.silent == never {
			heard = -1
		}
		last.Entries = append(last.Entries, &railv1.EntryStatus{Id: string(e.instance.ID()), Number: e.number, HeardMs: heard})
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

// ask waits at the desk for an effect of one type.
func ask[T rail.CallEffect](ctx context.Context, desk rail.Mailbox, call rail.RequestID, e rail.Event) (T, error) {
	var none T
	effect, err := desk.Ask(ctx, call, e)
	if err != nil {
		return none, err
	}
	answer, ok := effect.(T)
	if !ok {
		return none, rail.NewError(rail.KindInternal, "unexpected %s", effect.EffectName())
	}
	return answer, nil
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
