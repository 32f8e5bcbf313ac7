package fleet

import (
	"time"

	"dandelionrail.org/rail"
)

// Buy buys an instance from the cloud; the runner checks the time immediately before the call.
type Buy struct {
	token   string
	offer   rail.Offer
	serves  string
	version rail.Version
	until   time.Time
}

// Token returns the client token, the same in every call for this purchase.
func (e Buy) Token() string { return e.token }

// Offer returns what to buy.
func (e Buy) Offer() rail.Offer { return e.offer }

// Serves returns the model or service that the instance is bought for.
func (e Buy) Serves() string { return e.serves }

// Version returns the version that the instance is bought for.
func (e Buy) Version() rail.Version { return e.version }

// Until returns the time after which the call must not be made.
func (e Buy) Until() time.Time { return e.until }

// EffectName implements rail.Effect.
func (Buy) EffectName() string { return "fleetBuy" }

// Release releases an instance to the cloud; the runner checks the time immediately before the call.
type Release struct {
	instance rail.InstanceID
	until    time.Time
}

// Instance returns the instance to release.
func (e Release) Instance() rail.InstanceID { return e.instance }

// Until returns the time after which the call must not be made.
func (e Release) Until() time.Time { return e.until }

// EffectName implements rail.Effect.
func (Release) EffectName() string { return "fleetRelease" }
