package answer_test

import (
	"context"
	"fmt"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
)

// A stream breaks after its third token and is resumed at another engine.
func Example() {
	settings := answer.Defaults()
	store := answer.NewStore(settings)
	engines := &directory{upstreams: []rail.Instance{engineAt("m1", "breno"), engineAt("m2", "edolo")}}
	reducer := answer.New(settings, "breno", engines, chooser{}, picker{})
	now := time.Unix(1e9, 0)

	request := rail.NewRequest("r1", "shop", "briefs", now).WithPrompt("tin", 5)
	events := []rail.Event{answer.NewAccepted(request, briefs)}
	for len(events) > 0 {
		effects := reducer.Reduce(rail.NewInput(events[0], now, 1))
		events = events[1:]
		for _, effect := range effects {
			switch e := effect.(type) {
			case rail.Dispatch:
				events = append(events, runAttempt(store, e))
			case rail.SetTimer:
				now = now.Add(e.After())
				events = append(events, rail.NewTimerFired(e.Name()))
			case answer.Finished:
				store.Finish(e.Call(), e.Kind(), e.Reply())
			}
		}
	}
	chunks, done, _, _ := store.Read(context.Background(), "r1", 0)
	for _, c := range chunks {
		fmt.Print(c.Text())
	}
	fmt.Println(done)
	// Output:
	// attempt 1 from token 0
	// attempt 2 from token 3
	// tin.0 tin.1 tin.2 tin.3 tin.4 true
}

// runAttempt stands in for an AttemptRunner; the first attempt breaks.
func runAttempt(store *answer.Store, d rail.Dispatch) rail.Event {
	id := d.Request().ID()
	offset, _, _ := store.BeginAttempt(id, d.Attempt())
	fmt.Println("attempt", d.Attempt(), "from token", offset)
	for ; offset < d.Request().MaxTokens(); offset++ {
		if d.Attempt() == 1 && offset == 3 {
			return answer.NewFailed(id, 1, rail.KindUpstreamFailed, offset)
		}
		_, _ = store.Append(id, d.Attempt(), rail.NewChunk(offset, token(d.Request().Prompt(), offset)))
	}
	return answer.NewEnded(id, d.Attempt(), rail.Usage{})
}
