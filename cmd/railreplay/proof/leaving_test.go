package proof_test

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// answerTimeout is the time within which a leaving entry must answer a stream or refuse it.
const answerTimeout = 2 * time.Second

// Until its process has ended, a leaving entry runs each stream or refuses it within the timeout, so that no caller waits
// without an answer.
func TestLeavingEntryAnswersEachStream(t *testing.T) {
	s := newSystem(t, size{entries: 1, engines: 1})
	is := is.New(t)
	p, err := os.FindProcess(s.processes["entry-1"])
	is.NoErr(err)
	is.NoErr(p.Signal(syscall.SIGTERM))
	streamsByStatus := map[int]int{}
	for {
		status, err := s.streamOneToken(s.entries[0])
		if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err) // each stream must be answered in time
		is.True(status == http.StatusOK || status == http.StatusServiceUnavailable)
		streamsByStatus[status]++
	}
	t.Log("streams by status:", streamsByStatus)
	is.True(streamsByStatus[http.StatusOK] > 0)
}

// streamOneToken requests a stream of one token and returns the status of its response.
func (s *system) streamOneToken(entry string) (int, error) {
	ctx, cancel := context.WithTimeout(s.t.Context(), answerTimeout)
	defer cancel()
	body := `{"model":"` + model + `","prompt":"letter a lid","max_tokens":1,"stream":true}`
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer office-token")
	r.Close = true
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = w.Body.Close() }()
	_, err = io.Copy(io.Discard, w.Body)
	return w.StatusCode, err
}
