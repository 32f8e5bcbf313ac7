package stand2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// recorder keeps what was sent, answered and run, and writes it to record.txt.
type recorder struct {
	mu    sync.Mutex
	begun time.Time
	file  *os.File
	runs  map[string][]*run
	seen  map[string][]string
}

// run is one run of a request at a worker.
type run struct {
	worker string
	at     time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{begun: time.Now(), file: f, runs: map[string][]*run{}, seen: map[string][]string{}}, err
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) arrived(request, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[request] = append(r.seen[request], worker)
}

func (r *recorder) begin(request, worker string) *run {
	x := &run{worker: worker, at: time.Now()}
	r.mu.Lock()
	r.runs[request] = append(r.runs[request], x)
	r.mu.Unlock()
	return x
}

func (r *recorder) runsOf(request string) []*run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[request]
}

// call is a client attempt and its result.
type call struct {
	id, gateway, method, host, path, key, prefix string
	tokens                                       string
	deadline                                     time.Duration
	body                                         string
	sentAt, doneAt                               time.Time
	status                                       int
	retryAfter                                   string
	stamp                                        string
	answer                                       string
	whole                                        bool
	err                                          error
}

// send makes the attempt on a connection of its own and waits for its end.
func (c *call) send() {
	c.sentAt = time.Now()
	defer func() { c.doneAt = time.Now() }()
	conn, err := net.DialTimeout("tcp", c.gateway, time.Second)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(c.deadline))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n", c.method, c.path, c.host, c.id, c.deadline.Milliseconds(), c.key)
	if c.prefix != "" {
		fmt.Fprintf(&b, "X-Model: m\r\nX-Token-Count: %s\r\nX-Prompt-Prefix: %s\r\n", c.tokens, c.prefix)
	}
	if c.body != "" || c.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n" + c.body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		c.err = err
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	c.status, c.retryAfter, c.stamp = resp.StatusCode, resp.Header.Get("Retry-After"), resp.Header.Get("X-Response-Stamp")
	text, err := io.ReadAll(resp.Body)
	c.answer, c.err, c.whole = string(text), err, err == nil
}

// result describes the result in a line of the record.
func (c *call) result() string {
	text := "status " + strconv.Itoa(c.status)
	if c.err != nil {
		text += ", " + c.err.Error()
	}
	if c.status >= 300 {
		text += " (" + strings.TrimSpace(strings.SplitN(c.answer, ":", 2)[0]) + ", Retry-After " + c.retryAfter + ")"
	}
	return text
}
