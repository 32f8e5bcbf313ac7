package rail

// Number is the number of a log event; docs/events.md lists each one.
type Number int

// The numbered log events. Each part has a hundred of its own.
const (
	// Entry.
	EventStarted         Number = 100
	EventShutdown        Number = 101
	EventStopped         Number = 102
	EventRequestAccepted Number = 110
	EventRequestRefused  Number = 111
	EventRequestDone     Number = 112
	EventQueueFull       Number = 120

	// Answers.
	EventAttemptStarted  Number = 200
	EventAttemptFailed   Number = 201
	EventAnswerResumed   Number = 202
	EventHandoverSent    Number = 210
	EventHandoverLost    Number = 211
	EventHandoverTaken   Number = 212
	EventHandoverRefused Number = 213
	EventAnswerMoved     Number = 214
	EventDrained         Number = 220

	// Orders.
	EventOrderClaimed     Number = 300
	EventOrderReplayed    Number = 301
	EventOrderReleased    Number = 302
	EventClaimAbandoned   Number = 303
	EventKeysReady        Number = 304
	EventOrderLogGap      Number = 305
	EventOrderRecordBad   Number = 306
	EventOrdersSealed     Number = 307
	EventOrdersHandedOver Number = 308
	EventTicketsTaken     Number = 309

	// Instances.
	EventInstanceLeaving Number = 400

	// Documents.
	EventDocumentInForce    Number = 500
	EventDocumentRejected   Number = 501
	EventDocumentSkipped    Number = 502
	EventDocumentUnreadable Number = 503
	EventDocumentAdopted    Number = 504

	// Rollouts.
	EventRolloutBraked    Number = 600
	EventRolloutStep      Number = 601
	EventRolloutDone      Number = 602
	EventRolloutTakenBack Number = 603

	// Teams.
	EventTeamRefused Number = 700

	// Upstream choice.
	EventUpstreamChosen Number = 800

	// Fleet.
	EventLeaseTaken Number = 900

	// Platform.
	EventPlatformAway Number = 1000
	EventPlatformBack Number = 1001

	// Peers.
	EventPeerUnreachable Number = 1100
	EventPeerReachable   Number = 1101

	// Gateway.
	EventSettingsReloaded Number = 1200
	EventListenFailed     Number = 1201
	EventCatalogueInForce Number = 1210
	EventRecordSkipped    Number = 1211
	EventUpstreamListed   Number = 1220
	EventUpstreamLeaving  Number = 1221
	EventUpstreamLapsed   Number = 1222
	EventUpstreamGone     Number = 1223
	EventAttemptSent      Number = 1230
	EventAttemptEnded     Number = 1231
	EventRequestServed    Number = 1232
	EventCallerGone       Number = 1233
	EventQuotaRecalled    Number = 1234
	EventRolloutOrdered   Number = 1240
	EventRolloutVerdict   Number = 1241
	EventDutyTaken        Number = 1250
	EventDutyLost         Number = 1251
	EventUsageReported    Number = 1252
	EventUpstreamsOrdered Number = 1253
	EventLinesDropped     Number = 1260
)

// titles is the catalogue of log events.
var titles = map[Number]string{
	EventStarted:         "entry started",
	EventShutdown:        "entry is leaving",
	EventStopped:         "entry stopped",
	EventRequestAccepted: "request accepted",
	EventRequestRefused:  "request refused",
	EventRequestDone:     "request ended",
	EventQueueFull:       "a bounded queue is full",

	EventAttemptStarted:  "attempt sent to an upstream",
	EventAttemptFailed:   "attempt failed",
	EventAnswerResumed:   "answer resumed off a leaving upstream",
	EventHandoverSent:    "requests sent to a successor",
	EventHandoverLost:    "handover failed or its answer was lost",
	EventHandoverTaken:   "requests taken over from a leaving entry",
	EventHandoverRefused: "handover refused",
	EventAnswerMoved:     "answer moved to a successor",
	EventDrained:         "leaving entry has nothing in progress",

	EventOrderClaimed:     "order claimed",
	EventOrderReplayed:    "order answered with its recorded outcome",
	EventOrderReleased:    "claim released, the order did not run",
	EventClaimAbandoned:   "claim given up, it was not read back in time",
	EventKeysReady:        "a whole key window is read back, keyed orders are taken",
	EventOrderLogGap:      "records were dropped before they were read, keyed orders wait for a whole window",
	EventOrderRecordBad:   "record of orders cannot be read",
	EventOrdersSealed:     "orders sealed, no ticket is dispatched any more",
	EventOrdersHandedOver: "tickets handed over to the successor",
	EventTicketsTaken:     "tickets taken from a leaving entry",

	EventInstanceLeaving: "instance is leaving",

	EventDocumentInForce:    "document in force",
	EventDocumentRejected:   "document rejected, another one was accepted for its base",
	EventDocumentSkipped:    "document record skipped",
	EventDocumentUnreadable: "document cannot be applied",
	EventDocumentAdopted:    "document in force taken as the last accepted one",

	EventRolloutBraked:    "version braked",
	EventRolloutStep:      "version gets a larger share",
	EventRolloutDone:      "rollout done",
	EventRolloutTakenBack: "rollout taken back",

	EventTeamRefused: "request over its team's limit",

	EventUpstreamChosen: "upstream chosen",

	EventLeaseTaken: "fleet lease taken",

	EventPlatformAway: "platform is away",
	EventPlatformBack: "platform is back",

	EventPeerUnreachable: "peer cannot be reached",
	EventPeerReachable:   "peer is reached again",

	EventSettingsReloaded: "settings read again",
	EventListenFailed:     "listener failed, it is tried again",
	EventCatalogueInForce: "configuration in force",
	EventRecordSkipped:    "record of the store skipped",
	EventUpstreamListed:   "upstream listed",
	EventUpstreamLeaving:  "upstream is leaving",
	EventUpstreamLapsed:   "upstream's entry expired around an outage of the store, it is still used",
	EventUpstreamGone:     "upstream is gone",
	EventAttemptSent:      "call sent to an upstream",
	EventAttemptEnded:     "attempt of a call failed",
	EventRequestServed:    "call answered by an upstream",
	EventCallerGone:       "caller went away",
	EventQuotaRecalled:    "admitted of the last seconds recalled from the store",
	EventRolloutOrdered:   "rollout ordered",
	EventRolloutVerdict:   "verdict on a rollout",
	EventDutyTaken:        "lease on the duties taken",
	EventDutyLost:         "lease on the duties lost",
	EventUsageReported:    "usage of a window reported",
	EventUpstreamsOrdered: "number of upstreams ordered",
	EventLinesDropped:     "log lines dropped",
}

// Title returns the event's title in the catalogue, empty for a number that is not listed.
func (n Number) Title() string { return titles[n] }

// Numbers returns the listed numbers, in no stated order.
func Numbers() []Number {
	ns := make([]Number, 0, len(titles))
	for n := range titles {
		ns = append(ns, n)
	}
	return ns
}
