package rail

import "io"

// MaxHeadBytes bounds the status line and the headers of a response that another process sends.
const MaxHeadBytes = 16 << 10

// ReadBody reads the body of a response; complete is false if it is longer than the maximum.
func ReadBody(r io.Reader, maxBytes int64) (body []byte, complete bool, err error) {
	body, err = io.ReadAll(io.LimitReader(r, maxBytes+1))
	return body, int64(len(body)) <= maxBytes, err
}
