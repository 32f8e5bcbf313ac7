package rail

// EventNumber is the number of a log event; docs/events.md lists each one.
type EventNumber int

// The numbered log events. Each part has a hundred of its own.
const (
	// Entry.
	EventStarted         EventNumber = 100
	EventShutdown        EventNumber = 101
	EventStopped         EventNumber = 102
	EventRequestAccepted EventNumber = 110
	EventRequestRefused  EventNumber = 111
	EventRequestDone     EventNumber = 112
	EventQueueFull       EventNumber = 120

	// Answers.
	EventAttemptStarted   EventNumber = 200
	EventAttemptFailed    EventNumber = 201
	EventAnswerResumed    EventNumber = 202
	EventHandoverSent     EventNumber = 210
	EventHandoverLost     EventNumber = 211
	EventHandoverAccepted EventNumber = 212
	EventHandoverRefused  EventNumber = 213
	EventAnswerMoved      EventNumber = 214
	EventDrained          EventNumber = 220

	// Orders.
	EventOrderClaimed     EventNumber = 300
	EventOrderReplayed    EventNumber = 301
	EventOrderReleased    EventNumber = 302
	EventClaimAbandoned   EventNumber = 303
	EventKeysReady        EventNumber = 304
	EventOrderLogGap      EventNumber = 305
	EventOrderRecordBad   EventNumber = 306
	EventOrdersSealed     EventNumber = 307
	EventOrdersHandedOver EventNumber = 308
	EventTicketsTakenOver EventNumber = 309

	// Instances.
	EventInstanceLeaving EventNumber = 400

	// Documents.
	EventDocumentInForce    EventNumber = 500
	EventDocumentRejected   EventNumber = 501
	EventDocumentSkipped    EventNumber = 502
	EventDocumentUnreadable EventNumber = 503
	EventDocumentAdopted    EventNumber = 504

	// Rollouts.
	EventRolloutBraked     EventNumber = 600
	EventRolloutStep       EventNumber = 601
	EventRolloutDone       EventNumber = 602
	EventRolloutRolledBack EventNumber = 603

	// Teams.
	EventTeamRefused EventNumber = 700

	// Upstream choice.
	EventUpstreamChosen EventNumber = 800

	// Fleet.
	EventLeaseAcquired EventNumber = 900

	// Platform.
	EventPlatformUnavailable EventNumber = 1000
	EventPlatformAvailable   EventNumber = 1001

	// Peers.
	EventPeerUnreachable EventNumber = 1100
	EventPeerReachable   EventNumber = 1101

	// Gateway.
	EventSettingsReloaded     EventNumber = 1200
	EventListenFailed         EventNumber = 1201
	EventConfigurationInForce EventNumber = 1210
	EventRecordSkipped        EventNumber = 1211
	EventUpstreamListed       EventNumber = 1220
	EventUpstreamLeaving      EventNumber = 1221
	EventUpstreamExpired      EventNumber = 1222
	EventUpstreamRemoved      EventNumber = 1223
	EventAttemptSent          EventNumber = 1230
	EventAttemptEnded         EventNumber = 1231
	EventRequestServed        EventNumber = 1232
	EventCallerDisconnected   EventNumber = 1233
	EventQuotaRestored        EventNumber = 1234
	EventRolloutOrdered       EventNumber = 1240
	EventRolloutVerdict       EventNumber = 1241
	EventDutyAcquired         EventNumber = 1250
	EventDutyLost             EventNumber = 1251
	EventUsageReported        EventNumber = 1252
	EventUpstreamsOrdered     EventNumber = 1253
	EventLogLinesDropped      EventNumber = 1260
)

// titles is the catalogue of log events.
var titles = map[EventNumber]string{
	EventStarted:         "entry started",
	EventShutdown:        "entry is leaving",
	EventStopped:         "entry stopped",
	EventRequestAccepted: "request accepted",
	EventRequestRefused:  "request refused",
	EventRequestDone:     "request ended",
	EventQueueFull:       "a bounded queue is full",

	EventAttemptStarted:   "attempt sent to an upstream",
	EventAttemptFailed:    "attempt failed",
	EventAnswerResumed:    "answer resumed off a leaving upstream",
	EventHandoverSent:     "requests sent to a successor",
	EventHandoverLost:     "handover failed or its answer was lost",
	EventHandoverAccepted: "requests taken over from a leaving entry",
	EventHandoverRefused:  "handover refused",
	EventAnswerMoved:      "answer moved to a successor",
	EventDrained:          "leaving entry has nothing in progress",

	EventOrderClaimed:     "order claimed",
	EventOrderReplayed:    "order answered with its recorded outcome",
	EventOrderReleased:    "claim released, the order did not run",
	EventClaimAbandoned:   "claim given up, it was not read back in time",
	EventKeysReady:        "a whole key window is read back, keyed orders are taken",
	EventOrderLogGap:      "records were dropped before they were read, keyed orders wait for a whole window",
	EventOrderRecordBad:   "record of orders cannot be read",
	EventOrdersSealed:     "orders sealed, no ticket is dispatched any more",
	EventOrdersHandedOver: "tickets handed over to the successor",
	EventTicketsTakenOver: "tickets taken from a leaving entry",

	EventInstanceLeaving: "instance is leaving",

	EventDocumentInForce:    "document in force",
	EventDocumentRejected:   "document rejected, another one was accepted for its base",
	EventDocumentSkipped:    "document record skipped",
	EventDocumentUnreadable: "document cannot be applied",
	EventDocumentAdopted:    "document in force taken as the last accepted one",

	EventRolloutBraked:     "version braked",
	EventRolloutStep:       "version gets a larger share",
	EventRolloutDone:       "rollout done",
	EventRolloutRolledBack: "rollout taken back",

	EventTeamRefused: "request over its team's limit",

	EventUpstreamChosen: "upstream chosen",

	EventLeaseAcquired: "fleet lease taken",

	EventPlatformUnavailable: "platform is away",
	EventPlatformAvailable:   "platform is back",

	EventPeerUnreachable: "peer cannot be reached",
	EventPeerReachable:   "peer is reached again",

	EventSettingsReloaded:     "settings read again",
	EventListenFailed:         "listener failed, it is tried again",
	EventConfigurationInForce: "configuration in force",
	EventRecordSkipped:        "record of the store skipped",
	EventUpstreamListed:       "upstream listed",
	EventUpstreamLeaving:      "upstream is leaving",
	EventUpstreamExpired:      "upstream's entry expired around an outage of the store, it is still used",
	EventUpstreamRemoved:      "upstream is gone",
	EventAttemptSent:          "call sent to an upstream",
	EventAttemptEnded:         "attempt of a call failed",
	EventRequestServed:        "call answered by an upstream",
	EventCallerDisconnected:   "caller went away",
	EventQuotaRestored:        "admitted of the last seconds recalled from the store",
	EventRolloutOrdered:       "rollout ordered",
	EventRolloutVerdict:       "verdict on a rollout",
	EventDutyAcquired:         "lease on the duties taken",
	EventDutyLost:             "lease on the duties lost",
	EventUsageReported:        "usage of a window reported",
	EventUpstreamsOrdered:     "number of upstreams ordered",
	EventLogLinesDropped:      "log lines dropped",
}

// Title returns the event's title in the catalogue, empty for a number that is not listed.
func (n EventNumber) Title() string { return titles[n] }

// EventNumbers returns the listed numbers, in no stated order.
func EventNumbers() []EventNumber {
	ns := make([]EventNumber, 0, len(titles))
	for n := range titles {
		ns = append(ns, n)
	}
	return ns
}
