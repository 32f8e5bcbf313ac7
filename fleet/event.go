package fleet

import "dandelionrail.org/rail"

// OffersRead reports the offers of the cloud with their prices.
type OffersRead struct{ offers []rail.Offer }

// NewOffersRead returns the event.
func NewOffersRead(offers []rail.Offer) OffersRead { return OffersRead{offers: offers} }

// EventName implements rail.Event.
func (OffersRead) EventName() string { return "fleetOffersRead" }

// NoticesRead reports the reclaim notices in force.
type NoticesRead struct{ notices []rail.Notice }

// NewNoticesRead returns the event.
func NewNoticesRead(notices []rail.Notice) NoticesRead { return NoticesRead{notices: notices} }

// EventName implements rail.Event.
func (NoticesRead) EventName() string { return "fleetNoticesRead" }

// Bought reports that the cloud started an instance for the token.
type Bought struct {
	token    string
	instance rail.InstanceID
}

// NewBought returns the event.
func NewBought(token string, instance rail.InstanceID) Bought {
	return Bought{token: token, instance: instance}
}

// EventName implements rail.Event.
func (Bought) EventName() string { return "fleetBought" }

// BuyRefused reports that the cloud refused to start an instance for the token.
type BuyRefused struct{ token string }

// NewBuyRefused returns the event; a lost reply is not a refusal and needs no event.
func NewBuyRefused(token string) BuyRefused { return BuyRefused{token: token} }

// EventName implements rail.Event.
func (BuyRefused) EventName() string { return "fleetBuyRefused" }
