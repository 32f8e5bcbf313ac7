package gateway

// ConnectionUse describes the connection to an upstream, or to a peer, that carried an attempt.
type ConnectionUse struct {
	// number identifies the connection in this process, zero if the attempt had none.
	number int64
	// carried is the number of requests that it carried before.
	carried int
	// avoided is the number of idle connections that were not used because they had carried the request's id.
	avoided int
}

// NewConnectionUse returns the use of the connection with the number, which carried so many requests before; avoided is the number of idle
// ones that were not used because they had carried the request's id.
func NewConnectionUse(number int64, carried, avoided int) ConnectionUse {
	return ConnectionUse{number: number, carried: carried, avoided: avoided}
}

// fields returns the log fields of the use.
func (u ConnectionUse) fields() []Field {
	return []Field{NewField("connection", u.number), NewField("carried", u.carried), NewField("avoided", u.avoided)}
}

// ConnectionError is the error of an attempt that failed on a connection.
type ConnectionError struct {
	cause error
	use   ConnectionUse
}

// NewConnectionError returns the error with its cause.
func NewConnectionError(cause error, u ConnectionUse) *ConnectionError {
	return &ConnectionError{cause: cause, use: u}
}

// Error returns the text of the cause.
func (e *ConnectionError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *ConnectionError) Unwrap() error { return e.cause }
