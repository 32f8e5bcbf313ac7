// Package httpconn is an HTTP/1.1 transport that delivers an answer only to the
// request that it belongs to. An upstream may send an answer too many, for example
// the copy of a refusal, at any time on a connection.
//
// Each request has an id in X-Request-Id, and an answer may repeat it. A connection
// carries an id once, and carries further requests only as long as each answer has
// repeated its id. So an answer on a connection that was used before has the id of
// its request, and no earlier answer on that connection had it. An answer with the
// id of another request is an error on every connection.
//
// An answer without a length ends with its connection. If that is reset, or ends
// while the request is still being written, the answer is not complete.
//
// Not guaranteed: an answer without an id that is sent on a new connection before
// its request is taken for that request's answer. The transport repeats a request by
// itself only if it is a GET or HEAD without a body on a connection that was used before.
package httpconn
