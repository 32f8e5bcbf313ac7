// Package engine is a small stand-in for a model engine. It has continuous
// batching, a prompt prefix cache of limited size, priorities, and streams that
// can be resumed and cancelled; faults can be injected through its control call.
package engine
