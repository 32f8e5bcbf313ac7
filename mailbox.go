package rail

import "context"

// CallEffect is an effect that completes a call waiting at the Mailbox.
type CallEffect interface {
	Effect
	// Call returns the id under which the call waits.
	Call() RequestID
}

// Mailbox queues events for the reducer and lets callers wait for its response.
type Mailbox interface {
	// Post queues an event and reports false if the bounded queue is full.
	Post(e Event) bool
	// Ask queues an event and waits for the first CallEffect of the id.
	Ask(ctx context.Context, id RequestID, e Event) (CallEffect, error)
}
