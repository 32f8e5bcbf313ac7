package main

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/standin/platform"
)

const shutdownGrace = 500 * time.Millisecond

type platformCommand struct {
	listen           string
	appendsPerSecond float64
	retention        time.Duration
	listLag          time.Duration
	weightsPerSecond float64
	startDelay       time.Duration
	offers           []string
}

func newPlatformCommand() *platformCommand {
	return &platformCommand{listen: "127.0.0.1:0", startDelay: time.Second}
}

func (p *platformCommand) flags() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("platform")
	s.Description = "Runs the log, the instance list, the cloud API and the weight store."
	s.String(&p.listen, "l", "listen", "Address to listen at; port 0 takes a free one.")
	s.Float64(&p.appendsPerSecond, "", "appends-per-second", "Appends that the log takes each second (default 400).")
	s.Duration(&p.retention, "", "retention", "How long the log keeps a record (default 10m).")
	s.Duration(&p.listLag, "", "list-lag", "How far the instance list is behind (default 1s).")
	s.Float64(&p.weightsPerSecond, "", "weights-per-second", "Answers of the weight store each second (default 2).")
	s.Duration(&p.startDelay, "", "start-delay", "How long a bought instance takes to start.")
	s.StringSlice(&p.offers, "", "offer", "Price of an instance and hour as domain:class:price; may be repeated.")
	return s
}

func (p *platformCommand) run(ctx context.Context) error {
	offers, err := parseOffers(p.offers)
	if err != nil {
		return err
	}
	l, err := listen(ctx, p.listen)
	if err != nil {
		return err
	}
	h := newHost(context.WithoutCancel(ctx), "http://"+l.Addr().String(), p.startDelay)
	defer h.group.Stop()
	return serve(ctx, l, platform.New(platform.Settings{
		AppendsPerSecond: p.appendsPerSecond,
		Retention:        p.retention,
		ListLag:          p.listLag,
		WeightsPerSecond: p.weightsPerSecond,
		Offers:           offers,
		StartInstance:    h.start,
		StopInstance:     h.stop,
	}), shutdownGrace)
}

func parseOffers(texts []string) ([]rail.Offer, error) {
	var offers []rail.Offer
	for _, t := range texts {
		parts := strings.Split(t, ":")
		if len(parts) != 3 {
			return nil, errors.Errorf("offer %q is not domain:class:price", t)
		}
		price, err := strconv.ParseFloat(parts[2], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "price of offer %q", t)
		}
		offers = append(offers, rail.NewOffer(rail.Domain(parts[0]), rail.Class(parts[1]), price))
	}
	return offers, nil
}
