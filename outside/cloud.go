package outside

import (
	"context"
	"net/http"
	"time"

	"dandelionrail.org/rail"
)

type noticesResponse struct {
	Notices []noticeBody `json:"notices"`
}

type noticeBody struct {
	Instance string `json:"instance"`
	AtMs     int64  `json:"atMs"`
}

type offersResponse struct {
	Offers []offerBody `json:"offers"`
}

type offerBody struct {
	Domain string  `json:"domain"`
	Class  string  `json:"class"`
	Price  float64 `json:"price"`
}

type buyBody struct {
	ClientToken string `json:"clientToken"`
	Domain      string `json:"domain"`
	Class       string `json:"class"`
	Serves      string `json:"serves"`
	Version     string `json:"version"`
}

type buyResponse struct {
	ID string `json:"id"`
}

// Notices returns the reclaim notices in force.
func (c *Client) Notices(ctx context.Context) ([]rail.Notice, error) {
	var response noticesResponse
	if err := c.call(ctx, callTimeout, http.MethodGet, "/cloud/notices", nil, &response); err != nil {
		return nil, err
	}
	notices := make([]rail.Notice, 0, len(response.Notices))
	for _, n := range response.Notices {
		notices = append(notices, rail.NewNotice(rail.InstanceID(n.Instance), time.UnixMilli(n.AtMs)))
	}
	return notices, nil
}

// Offers returns the current prices by domain and class.
func (c *Client) Offers(ctx context.Context) ([]rail.Offer, error) {
	var response offersResponse
	if err := c.call(ctx, callTimeout, http.MethodGet, "/cloud/offers", nil, &response); err != nil {
		return nil, err
	}
	offers := make([]rail.Offer, 0, len(response.Offers))
	for _, o := range response.Offers {
		offers = append(offers, rail.NewOffer(rail.Domain(o.Domain), rail.Class(o.Class), o.Price))
	}
	return offers, nil
}

// Buy starts an instance; calls with the same client token start at most one, and a refused start returns the kind upstreamRefused.
func (c *Client) Buy(ctx context.Context, clientToken string, offer rail.Offer, serves string, version rail.Version) (rail.InstanceID, error) {
	in := buyBody{
		ClientToken: clientToken,
		Domain:      string(offer.Domain()),
		Class:       string(offer.Class()),
		Serves:      serves,
		Version:     string(version),
	}
	var response buyResponse
	if err := c.call(ctx, callTimeout, http.MethodPost, "/cloud/instances", in, &response); err != nil {
		return "", err
	}
	return rail.InstanceID(response.ID), nil
}

// Release returns an instance to the cloud; releasing it again does nothing.
func (c *Client) Release(ctx context.Context, instance rail.InstanceID) error {
	return c.call(ctx, callTimeout, http.MethodDelete, instancePath("/cloud/instances", instance), nil, nil)
}
