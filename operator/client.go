package operator

import (
	"context"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/document"
	"dandelionrail.org/rail/gen/railv1"
	"dandelionrail.org/rail/gen/railv1/railv1connect"
	"dandelionrail.org/rail/peer"
	"dandelionrail.org/rail/section"
)

const (
	// callTimeout bounds a read-only call.
	callTimeout = 5 * time.Second
	// clientSlack is added to the entry's own timeout for a publication.
	clientSlack = 5 * time.Second
)

// Client calls the operator API of an entry.
type Client struct {
	service railv1connect.OperatorServiceClient
}

// NewClient returns a client of the entry whose control listener is at the base URL.
func NewClient(client *http.Client, baseURL string) *Client {
	return &Client{service: railv1connect.NewOperatorServiceClient(client, baseURL)}
}

// Publish publishes the text on top of the base and returns its number, or the faults of the text.
// It repeats the call once if the response was lost.
func (c *Client) Publish(ctx context.Context, source string, base uint64) (uint64, []document.Fault, error) {
	number, faults, err := c.publish(ctx, source, base)
	if err == nil || rail.KindOf(err) != rail.KindInternal {
		return number, faults, err
	}
	// Repeating the call is safe: the same text on top of the same base is the same publication.
	return c.publish(ctx, source, base)
}

func (c *Client) publish(ctx context.Context, source string, base uint64) (uint64, []document.Fault, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout+clientSlack)
	defer cancel()
	r, err := c.service.Publish(ctx, connect.NewRequest(&railv1.PublishRequest{Source: source, Base: base}))
	if err != nil {
		return 0, nil, kindError(err)
	}
	var faults []document.Fault
	for _, f := range r.Msg.GetFaults() {
		faults = append(faults, section.NewFault(int(f.GetLine()), f.GetMessage()))
	}
	return r.Msg.GetNumber(), faults, nil
}

// Document returns the number and text of the document in force, number zero if there is none.
func (c *Client) Document(ctx context.Context) (uint64, string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.service.GetDocument(ctx, connect.NewRequest(&railv1.GetDocumentRequest{}))
	if err != nil {
		return 0, "", kindError(err)
	}
	return r.Msg.GetNumber(), r.Msg.GetSource(), nil
}

// Status returns which version is in force at each entry.
func (c *Client) Status(ctx context.Context) (*railv1.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.service.Status(ctx, connect.NewRequest(&railv1.StatusRequest{}))
	if err != nil {
		return nil, kindError(err)
	}
	return r.Msg, nil
}

// Rollouts returns the state of all rollouts.
func (c *Client) Rollouts(ctx context.Context) ([]*railv1.RolloutStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.service.Rollouts(ctx, connect.NewRequest(&railv1.RolloutsRequest{}))
	if err != nil {
		return nil, kindError(err)
	}
	return r.Msg.GetRollouts(), nil
}

// kindError returns an error of the kind that the entry reported, or the error itself if it has no kind, as when the response was lost.
func kindError(err error) error {
	kind := peer.ErrorKind(err)
	var failed *connect.Error
	if kind == rail.KindNone || !errors.As(err, &failed) {
		return err
	}
	return rail.NewError(kind, "%s", strings.TrimPrefix(failed.Message(), string(kind)+": "))
}
