// Package telemetry records the OpenTelemetry metrics of an entry or a gateway.
package telemetry
