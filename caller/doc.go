// Package caller serves the callers' HTTP API: model requests in the formats of
// the OpenAI API, requests to plain services, order tickets, and answers that can
// be resumed at any entry.
package caller
