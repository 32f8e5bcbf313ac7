package order_test

import (
	"fmt"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/order"
)

// A caller of the package passes events to the reducer, one at a time, and carries out the returned effects.
func Example() {
	reducer := order.New(order.Defaults(), "works-hall", "k7f3")
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	reduce := func(event rail.Event) {
		for _, effect := range reducer.Reduce(rail.NewInput(event, now, 0)) {
			switch e := effect.(type) {
			case order.TicketIssued:
				fmt.Println("ticket", e.Ticket())
			case order.Proceed:
				fmt.Println("dispatch", e.Request().ID())
			case order.Answered:
				fmt.Println("answer", e.Call(), e.Reply().Status())
			case order.Refused:
				fmt.Println("refuse", e.Call(), e.Kind(), e.Kind().Reply().Run())
			}
		}
	}
	send := func(id rail.RequestID, ticket rail.Ticket) {
		r := rail.NewRequest(id, "counter", "engraving", now).WithCall("POST", "/tins", []byte("brass"))
		reduce(order.NewSubmitted(r.WithTicket(ticket)))
	}
	reduce(order.NewTicketWanted("call1", "counter"))
	send("first", "works-hall-k7f3-1")
	send("retry", "works-hall-k7f3-1") // waits for the same outcome
	reduce(order.NewEnded("first", rail.KindNone, rail.NewServiceReply(201, "", nil)))
	send("late", "works-hall-k7f3-1")
	send("stranger", "works-hall-k7f3-9")
	// Output:
	// ticket works-hall-k7f3-1
	// dispatch first
	// answer first 201
	// answer retry 201
	// answer late 201
	// refuse stranger unknownTicket notRun
}
