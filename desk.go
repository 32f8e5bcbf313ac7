package rail

import "context"

// CallEffect is an effect that answers a call waiting at the desk.
type CallEffect interface {
	Effect
	// Call returns the id under which the call waits.
	Call() RequestID
}

// Mailbox is how handlers and pumps reach the reducer.
type Mailbox interface {
	// Post queues an event and reports false if the bounded queue is full.
	Post(e Event) bool
	// Ask queues an event and waits for the first CallEffect of the id.
	Ask(ctx context.Context, id RequestID, e Event) (CallEffect, error)
}
