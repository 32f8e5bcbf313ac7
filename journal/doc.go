// Package journal writes numbered events to the structured log and the timeline.
package journal
