package rail

import (
	"io"
	"net/http"
)

// MaxHeadBytes bounds the status line and the headers of a response that another process sends.
const MaxHeadBytes = 16 << 10

// ReadBody reads the body of a response; complete is false if it is longer than the maximum.
func ReadBody(r io.Reader, maxBytes int64) (body []byte, complete bool, err error) {
	body, err = io.ReadAll(io.LimitReader(r, maxBytes+1))
	return body, int64(len(body)) <= maxBytes, err
}

// ValidStatus reports whether a final response may have the status: 200 to 599 (RFC 9110, section 15; no call here asks for a
// switch of protocols, so that 101 is no answer). net/http accepts any three digits, and two after a plus sign.
func ValidStatus(status int) bool {
	const afterLastClass = 600
	return status >= http.StatusOK && status < afterLastClass
}
