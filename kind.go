package rail

import (
	"net/http"
	"time"
)

// Run states whether an upstream ran a request that received no answer.
type Run string

// The values of Run.
const (
	NotRun     Run = "notRun"
	RunUnknown Run = "unknown"
	Ran        Run = "ran"
)

// Kind is one entry of the closed list of error kinds.
type Kind string

// The closed list of error kinds.
const (
	KindNone           Kind = ""
	KindBadRequest     Kind = "badRequest"
	KindTooLarge       Kind = "tooLarge"
	KindUnknownTeam    Kind = "unknownTeam"
	KindUnknownRoute   Kind = "unknownRoute"
	KindUnknownModel   Kind = "unknownModel"
	KindUnknownAnswer  Kind = "unknownAnswer"
	KindTicketRequired Kind = "ticketRequired"
	KindForeignTicket  Kind = "foreignTicket"
	KindUnknownTicket  Kind = "unknownTicket"
	KindKeyExpired     Kind = "keyExpired"
	KindKeyForgotten   Kind = "keyForgotten"
	KindKeyPending     Kind = "keyPending"
	KindKeyReused      Kind = "keyReused"
	KindOutcomesFull   Kind = "outcomesFull"
	KindAnswerNotKept  Kind = "answerNotKept"
	KindLimited        Kind = "limited"
	KindOverloaded     Kind = "overloaded"
	KindNoUpstream     Kind = "noUpstream"
	// KindQuarantined is a request under which, or under a part of whose prompt, upstreams crash.
	KindQuarantined         Kind = "quarantined"
	KindNotReady            Kind = "notReady"
	KindLeaving             Kind = "leaving"
	KindMoved               Kind = "moved"
	KindPlatformUnavailable Kind = "platformAway"
	KindUpstreamRefused     Kind = "upstreamRefused"
	KindUpstreamFailed      Kind = "upstreamFailed"
	KindUpstreamSilent      Kind = "upstreamSilent"
	// KindUpstreamUnreachable is a connection that was not established, so that nothing was sent.
	KindUpstreamUnreachable Kind = "upstreamUnreachable"
	// KindUpstreamFull is an upstream that rejected the request before starting work on it.
	KindUpstreamFull Kind = "upstreamFull"
	// KindUpstreamReplaced is an address that now belongs to another upstream.
	KindUpstreamReplaced Kind = "upstreamReplaced"
	// KindPeerUnreachable is a peer to which no connection was established, so that nothing was forwarded.
	KindPeerUnreachable   Kind = "peerUnreachable"
	KindIssuerGone        Kind = "issuerGone"
	KindIssuerUnreachable Kind = "issuerUnreachable"
	KindDeadlinePassed    Kind = "deadlinePassed"
	KindCancelled         Kind = "cancelled"
	KindBadDocument       Kind = "badDocument"
	KindStaleBase         Kind = "staleBase"
	KindBadSettings       Kind = "badSettings"
	KindInternal          Kind = "internal"
)

// Reply is the response to a caller for an error kind.
type Reply struct {
	status     int
	code       string
	run        Run
	retryAfter time.Duration
	advice     string
}

// Status returns the HTTP status.
func (r Reply) Status() int { return r.status }

// Code returns the name of the connect code, for example "unavailable".
func (r Reply) Code() string { return r.code }

// Run returns whether the request ran, as far as that is known.
func (r Reply) Run() Run { return r.run }

// RetryAfter returns how long the caller should wait before a retry, zero for no advice.
func (r Reply) RetryAfter() time.Duration { return r.retryAfter }

// Advice returns what the caller can do about the error.
func (r Reply) Advice() string { return r.advice }

const (
	shortRetry = time.Second
	longRetry  = 5 * time.Second
	// statusCancelled is the status that HTTP servers commonly log for a client that closed the connection.
	statusCancelled = 499
)

// replies maps each kind to its response.
var replies = map[Kind]Reply{
	KindBadRequest:          {http.StatusBadRequest, "invalid_argument", NotRun, 0, "correct the request as the message says"},
	KindTooLarge:            {http.StatusRequestEntityTooLarge, "resource_exhausted", NotRun, 0, "send a smaller body"},
	KindUnknownTeam:         {http.StatusUnauthorized, "unauthenticated", NotRun, 0, "send the bearer token of a team in the document in force"},
	KindUnknownRoute:        {http.StatusNotFound, "not_found", NotRun, 0, "use a route of the document in force"},
	KindUnknownModel:        {http.StatusNotFound, "not_found", NotRun, 0, "use a model of the document in force"},
	KindUnknownAnswer:       {http.StatusNotFound, "not_found", RunUnknown, 0, "use the answer id that the first reply carried"},
	KindTicketRequired:      {http.StatusPreconditionRequired, "failed_precondition", NotRun, 0, "ask POST /v1/tickets for a ticket, or send an Idempotency-Key"},
	KindForeignTicket:       {http.StatusForbidden, "permission_denied", NotRun, 0, "use a ticket that was issued to this team"},
	KindUnknownTicket:       {http.StatusBadRequest, "invalid_argument", NotRun, 0, "ask POST /v1/tickets for a ticket"},
	KindKeyExpired:          {http.StatusGone, "failed_precondition", NotRun, 0, "send a UUID of version 7 made for this order within the key window"},
	KindKeyForgotten:        {http.StatusGone, "unknown", RunUnknown, 0, "check the order by hand; its key is older than the records"},
	KindKeyPending:          {http.StatusConflict, "aborted", RunUnknown, shortRetry, "ask again with the same key"},
	KindKeyReused:           {http.StatusUnprocessableEntity, "invalid_argument", NotRun, 0, "use a new key for another order"},
	KindOutcomesFull:        {http.StatusServiceUnavailable, "resource_exhausted", NotRun, longRetry, "try again later"},
	KindAnswerNotKept:       {http.StatusGone, "out_of_range", Ran, 0, "the order ran; its answer was too large to be kept"},
	KindLimited:             {http.StatusTooManyRequests, "resource_exhausted", NotRun, shortRetry, "stay within the limit of the team"},
	KindOverloaded:          {http.StatusServiceUnavailable, "resource_exhausted", NotRun, shortRetry, "try again later"},
	KindNoUpstream:          {http.StatusServiceUnavailable, "unavailable", NotRun, shortRetry, "try again; no upstream of this route can be reached"},
	KindQuarantined:         {http.StatusServiceUnavailable, "failed_precondition", NotRun, longRetry, "send another request; upstreams crash under this one or a part of its prompt"},
	KindNotReady:            {http.StatusServiceUnavailable, "unavailable", NotRun, 0, "try another entry"},
	KindLeaving:             {http.StatusServiceUnavailable, "unavailable", NotRun, 0, "try another entry"},
	KindMoved:               {http.StatusServiceUnavailable, "unavailable", RunUnknown, 0, "ask any entry for GET /v1/answers/ and the request id"},
	KindPlatformUnavailable: {http.StatusServiceUnavailable, "unavailable", NotRun, longRetry, "send the order with a ticket from POST /v1/tickets instead of a key"},
	KindUpstreamRefused:     {http.StatusServiceUnavailable, "unavailable", NotRun, shortRetry, "try again"},
	KindUpstreamFailed:      {http.StatusBadGateway, "internal", RunUnknown, 0, "ask for the outcome before sending anything again"},
	KindUpstreamSilent:      {http.StatusGatewayTimeout, "deadline_exceeded", RunUnknown, 0, "ask for the outcome before sending anything again"},
	KindUpstreamUnreachable: {http.StatusServiceUnavailable, "unavailable", NotRun, shortRetry, "try again"},
	KindUpstreamFull:        {http.StatusServiceUnavailable, "resource_exhausted", NotRun, shortRetry, "try again later"},
	KindUpstreamReplaced:    {http.StatusServiceUnavailable, "unavailable", NotRun, shortRetry, "try again"},
	KindPeerUnreachable:     {http.StatusServiceUnavailable, "unavailable", NotRun, shortRetry, "try again"},
	KindIssuerGone:          {http.StatusGone, "unknown", RunUnknown, 0, "check the order by hand; its entry is gone"},
	KindIssuerUnreachable:   {http.StatusServiceUnavailable, "unknown", RunUnknown, shortRetry, "ask again with the same ticket"},
	KindDeadlinePassed:      {http.StatusGatewayTimeout, "deadline_exceeded", RunUnknown, 0, "ask for the outcome before sending anything again"},
	KindCancelled:           {statusCancelled, "canceled", RunUnknown, 0, "the caller went away"},
	KindBadDocument:         {http.StatusUnprocessableEntity, "invalid_argument", NotRun, 0, "correct the faults listed"},
	KindStaleBase:           {http.StatusConflict, "aborted", NotRun, 0, "read the document in force and publish on top of it"},
	KindBadSettings:         {http.StatusUnprocessableEntity, "invalid_argument", NotRun, 0, "correct the settings listed"},
	KindInternal:            {http.StatusInternalServerError, "internal", RunUnknown, 0, "report the request id"},
}

// Reply returns the response for the kind; a kind that is not listed gets that of KindInternal.
func (k Kind) Reply() Reply {
	if r, ok := replies[k]; ok {
		return r
	}
	return replies[KindInternal]
}

// Kinds returns the closed list, in unspecified order.
func Kinds() []Kind {
	ks := make([]Kind, 0, len(replies))
	for k := range replies {
		ks = append(ks, k)
	}
	return ks
}
