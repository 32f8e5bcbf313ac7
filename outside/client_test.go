package outside_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/outside"
)

// serve returns a client whose calls all get the status and the body, and the method and URI of the last request.
func serve(t *testing.T, status int, body string) (*outside.Client, *string) {
	t.Helper()
	requested := ""
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requested = r.Method + " " + r.URL.RequestURI()
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return outside.New(s.URL+"/", s.Client()), &requested
}

func TestRead(t *testing.T) {
	is := is.New(t)
	c, requested := serve(t, http.StatusOK, `{"oldest":3,"next":19,"records":[{"offset":17,"atMs":5000,"kind":"claims","body":{"a":1}}]}`)
	read, err := c.Read(context.Background(), 17, time.Second)
	is.NoErr(err)
	is.Equal(*requested, "GET /log/records?from=17&limit=500&waitMs=1000")
	is.Equal(read.Oldest(), rail.Offset(3))
	is.Equal(read.Next(), rail.Offset(19))
	is.True(read.CaughtUp())
	is.Equal(string(read.Records()[0].Body()), `{"a":1}`)
	is.True(read.Records()[0].At().Equal(time.UnixMilli(5000)))
}

func TestInstances(t *testing.T) {
	is := is.New(t)
	c, _ := serve(t, http.StatusOK, `{"asOfMs":1,"instances":[{"id":"m1","incarnation":"x","domain":"breno","role":"engine","address":"127.0.0.1:1","serves":"tin-writer","version":"v1","class":"reclaimable","checksFencing":true,"state":"leaving"}]}`)
	instances, err := c.Instances(context.Background())
	is.NoErr(err)
	want := rail.NewInstance("m1", "breno", rail.RoleEngine, "127.0.0.1:1").WithIncarnation("x").
		WithServing("tin-writer", "v1").WithClass(rail.ClassReclaimable).WithFencing(true).WithLeaving()
	is.Equal(instances, []rail.Instance{want})
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		status int
		want   rail.Kind
	}{
		{http.StatusTooManyRequests, rail.KindLimited},
		{http.StatusServiceUnavailable, rail.KindPlatformUnavailable},
		{http.StatusConflict, rail.KindUpstreamRefused},
	}
	for _, tt := range tests {
		t.Run(http.StatusText(tt.status), func(t *testing.T) {
			is := is.New(t)
			c, _ := serve(t, tt.status, "no")
			_, err := c.Append(context.Background(), rail.RecordClaims, []byte(`{}`))
			is.Equal(rail.KindOf(err), tt.want)
		})
	}
}

// Guards against statuses that are none, of which 101 held a call for as long as the connection lasted.
func TestAnswerWithAnInvalidStatusIsAFailure(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				t.Cleanup(func() { _ = conn.Close() })
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" No\r\nUpgrade: tin\r\nConnection: Upgrade\r\nContent-Length: 12\r\n\r\n"+`{"offset":3}`)
			}))
			t.Cleanup(s.Close)
			_, err := outside.New(s.URL, s.Client()).Append(t.Context(), rail.RecordClaims, []byte(`{}`))
			is.Equal(rail.KindOf(err), rail.KindPlatformUnavailable)
		})
	}
}
