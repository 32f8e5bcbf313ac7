package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/entry"
	"dandelionrail.org/rail/group"
	"dandelionrail.org/rail/operator"
	"dandelionrail.org/rail/settings"
	"dandelionrail.org/rail/standin/platform"
)

// startDaemonWithoutTLS runs an entry without TLS whose settings name the peers.
func startDaemonWithoutTLS(t *testing.T, platformURL, id, domain, peers string) (*entry.Daemon, *operator.Client) {
	t.Helper()
	is := is.New(t)
	text := fmt.Sprintf("[entry]\nid = %s\ndomain = %s\n[platform]\nurl = %s\nlistInterval = 50ms\nreadWait = 50ms\n[leaving]\nacceptFor = 10ms\n", id, domain, platformURL)
	if peers != "" {
		text += "[peers]\naddresses = " + peers + "\n"
	}
	s, faults := settings.Read(text)
	is.Equal(len(faults), 0)
	d, err := entry.New(context.Background(), s, io.Discard)
	is.NoErr(err)
	d.Start()
	t.Cleanup(d.Stop)
	return d, operator.NewClient(http.DefaultClient, "http://"+d.ControlAddress())
}

// TestDocumentsWhilePlatformIsUnavailable publishes a document, lets two
// operators publish concurrently on the same base version, and starts an entry
// while the platform is unavailable, which must get the document from its peer.
func TestDocumentsWhilePlatformIsUnavailable(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(platform.New(platform.Settings{ListLag: -1}))
	t.Cleanup(server.Close)
	breno, first := startDaemonWithoutTLS(t, server.URL, "e1", "breno", "")
	_, second := startDaemonWithoutTLS(t, server.URL, "e2", "darfo", "")
	number, faults, err := first.Publish(t.Context(), documentSource, 0)
	is.NoErr(err)
	is.Equal(len(faults), 0)
	is.Equal(number, uint64(1))
	await(t, "version 1 in the other domain", func() bool {
		number, _, err := second.Document(t.Context())
		return err == nil && number == 1
	})

	// Two operators publish on base version 1 at two entries.
	outcomes := map[rail.Kind]int{}
	kinds := make(chan rail.Kind, 2)
	operators := group.New(t.Context())
	for i, c := range []*operator.Client{first, second} {
		operators.Go(func(ctx context.Context) {
			_, _, err := c.Publish(ctx, fmt.Sprintf("%s# of operator %d\n", documentSource, i), 1)
			kinds <- rail.KindOf(err)
		})
	}
	operators.Wait()
	outcomes[<-kinds]++
	outcomes[<-kinds]++
	is.Equal(outcomes, map[rail.Kind]int{rail.KindNone: 1, rail.KindStaleBase: 1})
	_, accepted, err := first.Document(t.Context())
	is.NoErr(err)

	server.CloseClientConnections()
	server.Close()
	startedAt := time.Now()
	_, third := startDaemonWithoutTLS(t, server.URL, "e3", "darfo", breno.ControlAddress())
	await(t, "version 2 at the new entry", func() bool {
		number, text, err := third.Document(t.Context())
		return err == nil && number == 2 && text == accepted
	})
	t.Logf("the new entry has the document after %s", time.Since(startedAt).Round(time.Millisecond))
}
