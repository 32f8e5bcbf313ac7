// Package platform is a small stand-in for the platform: the append-only log,
// the instance list with its lag, the cloud API and the weight store. Faults
// can be injected through its control call.
package platform
