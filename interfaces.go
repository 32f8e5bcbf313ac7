package rail

import (
	"context"
	"time"
)

// Log is the platform's append-only log.
type Log interface {
	// Append adds one record and returns its offset; after an error it is unknown whether the record was added.
	Append(ctx context.Context, kind RecordKind, body []byte) (Offset, error)
	// Read returns the records from the offset on; it waits for the first one no longer than wait.
	Read(ctx context.Context, from Offset, wait time.Duration) (LogRead, error)
}

// InstanceList is the platform's lagging list of live and leaving instances.
type InstanceList interface {
	// Instances returns the current snapshot.
	Instances(ctx context.Context) ([]Instance, error)
}

// Notice is a reclaim notice of the cloud.
type Notice struct {
	instance InstanceID
	at       time.Time
}

// NewNotice returns a notice that the instance is reclaimed at that time.
func NewNotice(instance InstanceID, at time.Time) Notice { return Notice{instance: instance, at: at} }

// Instance returns the instance to be reclaimed.
func (n Notice) Instance() InstanceID { return n.instance }

// At returns when it is reclaimed.
func (n Notice) At() time.Time { return n.at }

// Offer is the cloud's price for an instance in one domain and class.
type Offer struct {
	domain Domain
	class  Class
	price  float64
}

// NewOffer returns an offer; price is per instance and hour.
func NewOffer(domain Domain, class Class, price float64) Offer {
	return Offer{domain: domain, class: class, price: price}
}

// Domain returns the failure domain.
func (o Offer) Domain() Domain { return o.domain }

// Class returns the price class.
func (o Offer) Class() Class { return o.class }

// Price returns the price per instance and hour.
func (o Offer) Price() float64 { return o.price }

// Cloud buys and releases instances and reports reclaim notices.
type Cloud interface {
	// Notices returns the reclaim notices in force.
	Notices(ctx context.Context) ([]Notice, error)
	// Offers returns the current prices.
	Offers(ctx context.Context) ([]Offer, error)
	// Buy starts an instance; repeated calls with the same client token start at most one.
	Buy(ctx context.Context, clientToken string, offer Offer, serves string, version Version) (InstanceID, error)
	// Release returns an instance to the cloud; releasing it again does nothing.
	Release(ctx context.Context, instance InstanceID) error
}

// Chunk is one token of a model's answer.
type Chunk struct {
	offset int
	text   string
}

// NewChunk returns the token at the offset, from zero.
func NewChunk(offset int, text string) Chunk { return Chunk{offset: offset, text: text} }

// Offset returns the number of tokens before this one.
func (c Chunk) Offset() int { return c.offset }

// Text returns the token's text.
func (c Chunk) Text() string { return c.text }

// Usage holds the token counts that an engine reports at the end of a stream.
type Usage struct {
	prompt     int
	recomputed int
	generated  int
}

// NewUsage returns the token counts: in the prompt, in the part of it that no cached prefix covered, and generated.
func NewUsage(prompt, recomputed, generated int) Usage {
	return Usage{prompt: prompt, recomputed: recomputed, generated: generated}
}

// Prompt returns the prompt's length in tokens.
func (u Usage) Prompt() int { return u.prompt }

// Recomputed returns the number of prompt tokens that no cached prefix covered.
func (u Usage) Recomputed() int { return u.recomputed }

// Generated returns the number of generated tokens.
func (u Usage) Generated() int { return u.generated }

// Engine streams the answers of a model on one upstream.
type Engine interface {
	// Stream runs one attempt from the resume offset and passes each chunk to yield until the end; delivered is the text of the tokens before the offset.
	Stream(ctx context.Context, d Dispatch, delivered string, yield func(Chunk) error) (Usage, error)
	// Cancel stops an attempt; cancelling it again does nothing.
	Cancel(ctx context.Context, upstream Instance, request RequestID, attempt int) error
	// Load requests the load report.
	Load(ctx context.Context, upstream Instance) (Load, error)
	// CacheEvents returns the events from the sequence number on.
	CacheEvents(ctx context.Context, upstream Instance, from uint64) ([]CacheEvent, error)
	// Order orders the engine to load a version or to change its role, under a fencing number.
	Order(ctx context.Context, upstream Instance, fencing Offset, serves string, version Version) error
}

// ServiceReply is the complete answer of a plain service.
type ServiceReply struct {
	status      int
	contentType string
	body        []byte
}

// NewServiceReply returns the answer with its HTTP status.
func NewServiceReply(status int, contentType string, body []byte) ServiceReply {
	return ServiceReply{status: status, contentType: contentType, body: body}
}

// Status returns the HTTP status.
func (r ServiceReply) Status() int { return r.status }

// ContentType returns the media type of the body.
func (r ServiceReply) ContentType() string { return r.contentType }

// Body returns the body; it must not be changed.
func (r ServiceReply) Body() []byte { return r.body }

// Service calls a plain service on one upstream.
type Service interface {
	// Call sends the request once; the kind of its error states whether the request ran.
	Call(ctx context.Context, d Dispatch) (ServiceReply, error)
	// Load requests the load report.
	Load(ctx context.Context, upstream Instance) (Load, error)
}

// Timers is the timer service of the reducers.
type Timers interface {
	// Set fires the timer once after that time; it replaces a running timer with the same name.
	Set(name TimerName, after time.Duration)
}

// Group starts goroutines and waits for them.
type Group interface {
	// Go runs f in a goroutine of the group; ctx is cancelled when the group stops.
	Go(f func(ctx context.Context))
}
