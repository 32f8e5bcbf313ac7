// Package service calls plain services over HTTP, each request once.
//
// An order (a request with a ticket or a key) gets a new connection: the
// transport of net/http retries requests by itself on a reused connection, and
// the upstream of an idle connection may have become unreachable unnoticed.
// Idempotent calls share a connection pool, whose connections are kept only while
// the answers repeat the ids of their requests (package httpconn). An answer with the
// id of another request is a failure. The caller's idempotency key is not forwarded.
package service
