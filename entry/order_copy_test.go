package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/group"
	client "dandelionrail.org/rail/outside"
)

// copyingService refuses the first request to a path and runs the later ones. It sends a copy of the refusal before each
// answer on a connection that has carried a refusal.
type copyingService struct {
	listener net.Listener
	mu       sync.Mutex
	status   string // of answers
	refused  map[string]int
	ran      map[string]int
}

func startCopyingService(t *testing.T) *copyingService {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, g := &copyingService{listener: l, refused: map[string]int{}, ran: map[string]int{}}, group.New(context.Background())
	g.Go(func(ctx context.Context) {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			g.Go(func(context.Context) { s.serve(conn) })
			context.AfterFunc(ctx, func() { _ = conn.Close() })
		}
	})
	t.Cleanup(func() { _ = l.Close(); g.Stop() })
	return s
}

func (s *copyingService) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in, copied := bufio.NewReader(conn), ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		header := "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\n"
		text := copied + "HTTP/1.1 " + s.currentStatus() + " OK\r\n" + header + "Content-Length: 3\r\n\r\ntin"
		switch {
		case r.URL.Path == "/load":
			text = "HTTP/1.1 200 OK\r\n" + header + "Content-Length: 11\r\n\r\n{\"slots\":8}"
		case s.refuses(r.URL.Path):
			copied = "HTTP/1.1 503 No\r\nX-Not-Run: true\r\n" + header + "Content-Length: 0\r\n\r\n"
			text = copied
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

func (s *copyingService) currentStatus() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

func (s *copyingService) setStatus(status string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

// refuses counts the request as refused or run.
func (s *copyingService) refuses(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused[path] == 0 {
		s.refused[path]++
		return true
	}
	s.ran[path]++
	return false
}

func (s *copyingService) counts(path string) (refused, ran int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[path], s.ran[path]
}

// Guards against an order that is refused, claimed again and run, and for which the copy of its refusal counts as the answer.
func TestCopyOfARefusalIsNotTheAnswerOfAnOrder(t *testing.T) {
	cluster := newOrderCluster(t)
	s := startCopyingService(t)
	serves := rail.NewInstance("copying", "breno", rail.RoleService, s.listener.Addr().String()).WithServing("glaze", "v1")
	c := client.New(cluster.platform.URL, http.DefaultClient)
	for _, status := range []string{"200", "099", "999"} {
		s.setStatus(status)
		for _, header := range []string{"Idempotency-Key", "X-Ticket"} {
			t.Run(status+" "+header, func(t *testing.T) {
				is := is.New(t)
				value := newKey()
				if header == "X-Ticket" {
					value = cluster.ticket(t, cluster.breno)
				}
				path := "/tins/" + uuid.NewString()
				var got, run, text string
				for range 100 {
					is.NoErr(c.Register(t.Context(), serves))
					n, r, body := post(t, "http://"+cluster.breno.Address()+"/s/glaze"+path, header, value, "brass")
					got, run, text = fmt.Sprint(n), r, body
					if run != string(rail.NotRun) {
						break
					}
					_, ran := s.counts(path)
					is.Equal(ran, 0) // REFUSED: the caller was told that the order did not run.
					time.Sleep(50 * time.Millisecond)
				}
				if status == "200" {
					is.Equal(got+run+text, "200tin")
				} else {
					is.Equal(got+run, "502unknown")
				}
				refused, ran := s.counts(path)
				is.Equal(refused, 1)
				is.Equal(ran, 1)
			})
		}
	}
}
