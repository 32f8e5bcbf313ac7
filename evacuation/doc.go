// Package evacuation tracks the failure domains whose upstreams must get no
// requests by order of the operator. It does no I/O and does not read the clock.
package evacuation
