package peer

import (
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
	"dandelionrail.org/rail/gen/railv1"
)

func transferMessage(t answer.Transfer) *railv1.AnswerTransfer {
	r, kept := t.Request(), t.Answer()
	m := &railv1.AnswerTransfer{
		Id: string(r.ID()), Team: string(r.Team()), Route: string(r.Route()), Priority: int64(r.Priority()),
		AcceptedUnixMillis: unixMillis(r.At()), DeadlineUnixMillis: unixMillis(r.Deadline()),
		Prompt: r.Prompt(), MaxTokens: int64(r.MaxTokens()),
		Method: r.Method(), Path: []byte(r.Path()), Body: r.Body(),
		Upstream: string(t.Upstream()), Attempt: int64(t.Attempt()), WaitMillis: t.ResumeDelay().Milliseconds(),
	}
	for _, token := range kept.Tokens() {
		m.Tokens = append(m.Tokens, []byte(token))
	}
	if kept.Done() {
		m.End = endMessage(kept.Kind(), kept.Reply())
	}
	return m
}

func transferFrom(m *railv1.AnswerTransfer) answer.Transfer {
	r := rail.NewRequest(rail.RequestID(m.GetId()), rail.TeamName(m.GetTeam()), rail.RouteName(m.GetRoute()), fromMillis(m.GetAcceptedUnixMillis())).
		WithPriority(int(m.GetPriority())).
		WithDeadline(fromMillis(m.GetDeadlineUnixMillis())).
		WithPrompt(m.GetPrompt(), int(m.GetMaxTokens())).
		WithCall(m.GetMethod(), string(m.GetPath()), m.GetBody())
	tokens := make([]string, 0, len(m.GetTokens()))
	for _, token := range m.GetTokens() {
		tokens = append(tokens, string(token))
	}
	kept := answer.NewSnapshot(tokens)
	if end := m.GetEnd(); end != nil {
		kept = kept.WithEnd(rail.Kind(end.GetKind()), replyFrom(end))
	}
	wait := time.Duration(m.GetWaitMillis()) * time.Millisecond
	return answer.NewTransfer(r, int(m.GetAttempt()), wait).WithAnswer(kept).WithUpstream(rail.InstanceID(m.GetUpstream()))
}

func endMessage(kind rail.Kind, r rail.ServiceReply) *railv1.AnswerEnd {
	return &railv1.AnswerEnd{Kind: string(kind), Status: int32(r.Status()), ContentType: r.ContentType(), Body: r.Body()}
}

func replyFrom(m *railv1.AnswerEnd) rail.ServiceReply {
	return rail.NewServiceReply(int(m.GetStatus()), m.GetContentType(), m.GetBody())
}

// unixMillis returns the Unix time in milliseconds, zero for the zero time.
func unixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
