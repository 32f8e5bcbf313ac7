package operator_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/document"
	"dandelionrail.org/rail/gen/railv1"
	"dandelionrail.org/rail/instance"
	"dandelionrail.org/rail/operator"
	"dandelionrail.org/rail/rollout"
)

const good = `[environment]
name = trial
[team.members]
tokenHash = aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
[route.frames]
kind = model
serves = frame-writer
idempotent = true
stable = v1
`

// platform is a log that an entry's parts read, with the faults that a test sets.
type platform struct {
	mu      sync.Mutex
	parts   []rail.Reducer
	records []rail.Record
	waiting map[rail.RequestID]chan rail.CallEffect
	// lose drops the answers of so many appends after they took effect, refuse so many appends before.
	lose, refuse int
	// rival is appended before the next record.
	rival []byte
}

// Append implements rail.Log.
func (p *platform) Append(_ context.Context, kind rail.RecordKind, body []byte) (rail.Offset, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuse > 0 {
		p.refuse--
		return 0, rail.NewError(rail.KindLimited, "too many appends")
	}
	if p.rival != nil {
		p.add(kind, p.rival)
		p.rival = nil
	}
	p.add(kind, body)
	if p.lose > 0 {
		p.lose--
		return 0, rail.NewError(rail.KindPlatformUnavailable, "answer lost")
	}
	return rail.Offset(len(p.records)), nil
}

func (p *platform) add(kind rail.RecordKind, body []byte) {
	p.records = append(p.records, rail.NewRecord(rail.Offset(len(p.records)), time.Now(), kind, body))
	last := p.records[len(p.records)-1:]
	p.reduce(rail.NewLogRead(last, 0, rail.Offset(len(p.records)), true))
}

// Read implements rail.Log.
func (p *platform) Read(context.Context, rail.Offset, time.Duration) (rail.LogRead, error) {
	return rail.LogRead{}, errors.New("not read")
}

// Post implements rail.Desk.
func (p *platform) Post(e rail.Event) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reduce(e)
	return true
}

// Ask implements rail.Desk.
func (p *platform) Ask(ctx context.Context, id rail.RequestID, e rail.Event) (rail.CallEffect, error) {
	answer := make(chan rail.CallEffect, 1)
	p.mu.Lock()
	p.waiting[id] = answer
	p.reduce(e)
	p.mu.Unlock()
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return nil, rail.WrapError(ctx.Err(), rail.KindCancelled, "asked")
	}
}

func (p *platform) reduce(e rail.Event) {
	for _, part := range p.parts {
		for _, effect := range part.Reduce(rail.NewInput(e, time.Now(), 1)) {
			if call, ok := effect.(rail.CallEffect); ok {
				p.waiting[call.Call()] <- call
			}
		}
	}
}

type noRollouts struct{}

func (noRollouts) Status() []rollout.Status { return nil }

type noFacts struct{}

func (noFacts) LastReceived(rail.Incarnation) time.Time { return time.Time{} }

func newServer() (*operator.Server, *platform) {
	documents := document.New(document.ForEnvironment("trial"))
	me := rail.NewInstance("e1", "breno", rail.RoleEntry, "127.0.0.1:1")
	members := instance.New(me)
	p := &platform{waiting: map[rail.RequestID]chan rail.CallEffect{}}
	p.parts = []rail.Reducer{documents, members, operator.New(documents, members, noFacts{}, noRollouts{})}
	p.Post(rail.NewListRead([]rail.Instance{rail.NewInstance("e2", "darfo", rail.RoleEntry, "127.0.0.1:2").WithIncarnation("b")}))
	p.Post(rail.NewLogRead(nil, 0, 0, true))
	return operator.NewServer("trial", p, p), p
}

func publish(s *operator.Server, source string, base uint64) (*railv1.PublishResponse, error) {
	r, err := s.Publish(context.Background(), connect.NewRequest(&railv1.PublishRequest{Source: source, Base: base}))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

func TestPublish(t *testing.T) {
	rivalDocument, _ := document.Parse(strings.Replace(good, "stable = v1", "stable = v9", 1))
	rival, _ := document.NewPublication(rivalDocument, 0)
	tests := []struct {
		name         string
		base         uint64
		lose, refuse int
		rival        []byte
		records      int
		want         rail.Kind
	}{
		{"accepted", 0, 0, 0, nil, 1, rail.KindNone},
		{"answer lost", 0, 1, 0, nil, 1, rail.KindNone},
		{"refused twice", 0, 0, 2, nil, 1, rail.KindNone},
		{"platform away", 0, 0, 100, nil, 0, rail.KindPlatformUnavailable},
		{"rival first", 0, 0, 0, rival, 2, rail.KindStaleBase},
		{"rival first and answer lost", 0, 1, 0, rival, 2, rail.KindStaleBase},
		{"base not in force", 3, 0, 0, nil, 0, rail.KindStaleBase},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, p := newServer()
				p.lose, p.refuse, p.rival = tt.lose, tt.refuse, tt.rival
				m, err := publish(s, good, tt.base)
				is.Equal(len(p.records), tt.records)
				if tt.want != rail.KindNone {
					var failed *connect.Error
					is.True(errors.As(err, &failed))
					is.Equal(failed.Meta().Get("Rail-Kind"), string(tt.want))
					return
				}
				is.NoErr(err)
				is.Equal(m.GetNumber(), uint64(1))
				// The same publication again is the same version.
				m, err = publish(s, good, 0)
				is.NoErr(err)
				is.Equal(m.GetNumber(), uint64(1))
				is.Equal(len(p.records), tt.records)
			})
		})
	}
}

func TestPublishWithFaultsAppendsNothing(t *testing.T) {
	is := is.New(t)
	s, p := newServer()
	m, err := publish(s, strings.Replace(good, "name = trial", "nam = trial", 1), 0)
	is.NoErr(err)
	is.Equal(m.GetNumber(), uint64(0))
	is.Equal(m.GetFaults()[0].GetLine(), int32(1))
	is.Equal(m.GetFaults()[1].GetLine(), int32(2))
	_, err = publish(s, strings.Replace(good, "trial", "production", 1), 0)
	is.True(err != nil)
	is.Equal(len(p.records), 0)
}

func TestStatusNamesEachDomain(t *testing.T) {
	is := is.New(t)
	s, p := newServer()
	_, err := publish(s, good, 0)
	is.NoErr(err)
	status, err := s.Status(context.Background(), connect.NewRequest(&railv1.StatusRequest{}))
	is.NoErr(err)
	is.Equal(status.Msg.GetNumber(), uint64(1))
	is.Equal(status.Msg.GetDomains()[0].GetEntries()[0].GetNumber(), uint64(1))
	is.Equal(status.Msg.GetDomains()[1].GetDomain(), "darfo")
	is.Equal(status.Msg.GetDomains()[1].GetEntries()[0].GetNumber(), uint64(0))
	is.Equal(status.Msg.GetDomains()[1].GetEntries()[0].GetHeardMs(), int64(-1))
	p.Post(rail.NewFactsLearned([]rail.Fact{rail.NewFact(rail.NewFactKey(rail.FactDocument, "trial", "b"), 1, "1")}))
	status, err = s.Status(context.Background(), connect.NewRequest(&railv1.StatusRequest{}))
	is.NoErr(err)
	is.Equal(status.Msg.GetDomains()[1].GetEntries()[0].GetNumber(), uint64(1))
}
