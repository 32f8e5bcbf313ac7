package outside

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"dandelionrail.org/rail"
)

// readLimit is the maximum number of records in one read.
const readLimit = 500

type appendBody struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

type appendResponse struct {
	Offset int64 `json:"offset"`
}

type readResponse struct {
	Oldest  int64        `json:"oldest"`
	Next    int64        `json:"next"`
	Records []recordBody `json:"records"`
}

type recordBody struct {
	Offset int64           `json:"offset"`
	AtMs   int64           `json:"atMs"`
	Kind   string          `json:"kind"`
	Body   json.RawMessage `json:"body"`
}

// Append appends one record and returns its offset; after an error the record may or may not have been appended.
func (c *Client) Append(ctx context.Context, kind rail.RecordKind, body []byte) (rail.Offset, error) {
	var response appendResponse
	in := appendBody{Kind: string(kind), Body: body}
	if err := c.call(ctx, callTimeout, http.MethodPost, "/log/records", in, &response); err != nil {
		return 0, err
	}
	return rail.Offset(response.Offset), nil
}

// Read returns records from the offset on; it waits for the first one for at most the given time.
func (c *Client) Read(ctx context.Context, from rail.Offset, wait time.Duration) (rail.LogRead, error) {
	var response readResponse
	path := fmt.Sprintf("/log/records?from=%d&limit=%d&waitMs=%d", from, readLimit, wait.Milliseconds())
	if err := c.call(ctx, wait+callTimeout, http.MethodGet, path, nil, &response); err != nil {
		return rail.LogRead{}, err
	}
	records := make([]rail.Record, 0, len(response.Records))
	for _, r := range response.Records {
		records = append(records, rail.NewRecord(rail.Offset(r.Offset), time.UnixMilli(r.AtMs), rail.RecordKind(r.Kind), r.Body))
	}
	caughtUp := len(records) < readLimit
	return rail.NewLogRead(records, rail.Offset(response.Oldest), rail.Offset(response.Next), caughtUp), nil
}
