package rail

// EventNumber identifies a log event; docs/events.md lists all of them.
type EventNumber int

// The numbered log events. Each component has a range of one hundred numbers.
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
	EventStoreRestored        EventNumber = 1202
	EventProcessDelayed       EventNumber = 1203
	EventHeadsRefused         EventNumber = 1204
	EventConnectionsClosed    EventNumber = 1205
	EventConfigurationInForce EventNumber = 1210
	EventRecordSkipped        EventNumber = 1211
	EventNewsOutdated         EventNumber = 1212
	EventUpstreamListed       EventNumber = 1220
	EventUpstreamLeaving      EventNumber = 1221
	EventUpstreamExpired      EventNumber = 1222
	EventUpstreamRemoved      EventNumber = 1223
	EventDomainEvacuated      EventNumber = 1224
	EventEvacuationEnded      EventNumber = 1225
	EventUpstreamCold         EventNumber = 1226
	EventAttemptSent          EventNumber = 1230
	EventAttemptEnded         EventNumber = 1231
	EventRequestServed        EventNumber = 1232
	EventCallerDisconnected   EventNumber = 1233
	EventQuotaRestored        EventNumber = 1234
	EventPromptPartBlocked    EventNumber = 1235
	EventPromptPartReleased   EventNumber = 1236
	EventSuspectsNotStored    EventNumber = 1237
	EventRequestLimitNamed    EventNumber = 1238
	EventRequestLimitEnded    EventNumber = 1239
	EventRolloutOrdered       EventNumber = 1240
	EventRolloutVerdict       EventNumber = 1241
	EventRequestBlocked       EventNumber = 1242
	EventRequestReleased      EventNumber = 1243
	EventUpstreamRefusal      EventNumber = 1244
	EventRequestPanicked      EventNumber = 1245
	EventPartitionBegan       EventNumber = 1246
	EventPartitionEnded       EventNumber = 1247
	EventForwardRefused       EventNumber = 1248
	EventStreamMoved          EventNumber = 1249
	EventDutyAcquired         EventNumber = 1250
	EventDutyLost             EventNumber = 1251
	EventUsageReported        EventNumber = 1252
	EventUpstreamsOrdered     EventNumber = 1253
	EventCapacityRequired     EventNumber = 1254
	EventCapacityLeaving      EventNumber = 1255
	EventCapacityBasis        EventNumber = 1256
	EventConnectionsLimited   EventNumber = 1257
	EventLogLinesDropped      EventNumber = 1260
	EventRequestQueued        EventNumber = 1270
	EventQueueRefused         EventNumber = 1271
	EventSpilloverBegan       EventNumber = 1280
	EventSpilloverEnded       EventNumber = 1281
	EventRatesEstimated       EventNumber = 1290
	EventMoveGivenUp          EventNumber = 1300
)

// eventTitles maps each event to its title in docs/events.md.
var eventTitles = map[EventNumber]string{
	EventStarted:         "entry started",
	EventShutdown:        "entry is leaving",
	EventStopped:         "entry stopped",
	EventRequestAccepted: "request accepted",
	EventRequestRefused:  "request refused",
	EventRequestDone:     "request ended",
	EventQueueFull:       "a bounded queue is full",

	EventAttemptStarted:   "attempt sent to an upstream",
	EventAttemptFailed:    "attempt failed",
	EventAnswerResumed:    "answer resumed on another upstream; the former one is leaving",
	EventHandoverSent:     "requests sent to a successor",
	EventHandoverLost:     "handover failed or its response was lost",
	EventHandoverAccepted: "requests taken over from a leaving entry",
	EventHandoverRefused:  "handover refused",
	EventAnswerMoved:      "answer moved to a successor",
	EventDrained:          "leaving entry has no requests in progress",

	EventOrderClaimed:     "order claimed",
	EventOrderReplayed:    "order answered with its recorded outcome",
	EventOrderReleased:    "claim released; the order was not run",
	EventClaimAbandoned:   "claim abandoned; it was not read back from the log in time",
	EventKeysReady:        "log of a full key window has been read; keyed orders are accepted",
	EventOrderLogGap:      "log records were dropped before they were read; keyed orders are rejected until a full key window has been read",
	EventOrderRecordBad:   "order record is invalid",
	EventOrdersSealed:     "orders sealed; tickets are no longer dispatched",
	EventOrdersHandedOver: "tickets handed over to the successor",
	EventTicketsTakenOver: "tickets taken over from a leaving entry",

	EventInstanceLeaving: "instance is leaving",

	EventDocumentInForce:    "document in force",
	EventDocumentRejected:   "document rejected; another one was accepted on the same base",
	EventDocumentSkipped:    "document record skipped",
	EventDocumentUnreadable: "document cannot be applied",
	EventDocumentAdopted:    "document in force adopted as the last accepted version",

	EventRolloutBraked:     "brake applied to a version",
	EventRolloutStep:       "request share of a version increased",
	EventRolloutDone:       "rollout completed",
	EventRolloutRolledBack: "rollout rolled back",

	EventTeamRefused: "request rejected by the limits of its team",

	EventUpstreamChosen: "upstream chosen",

	EventLeaseAcquired: "fleet lease acquired",

	EventPlatformUnavailable: "platform is unavailable",
	EventPlatformAvailable:   "platform is available again",

	EventPeerUnreachable: "peer is unreachable",
	EventPeerReachable:   "peer is reachable again",

	EventSettingsReloaded:     "settings reloaded",
	EventStoreRestored:        "store was restored from a copy",
	EventProcessDelayed:       "process was paused or waited for its processor",
	EventHeadsRefused:         "request heads refused: too large, or no memory is left for heads",
	EventConnectionsClosed:    "connections of callers closed: too many are open",
	EventListenFailed:         "listener failed; retrying",
	EventConfigurationInForce: "configuration in force",
	EventRecordSkipped:        "store record skipped",
	EventNewsOutdated:         "peers report nothing recent of a topic",
	EventUpstreamListed:       "upstream listed",
	EventUpstreamLeaving:      "upstream is leaving",
	EventUpstreamExpired:      "store entry of an upstream expired around an outage or a restore of the store; the upstream stays in use",
	EventUpstreamRemoved:      "upstream removed",
	EventDomainEvacuated:      "operator evacuated a failure domain; its upstreams get no requests",
	EventEvacuationEnded:      "evacuation of a failure domain ended",
	EventUpstreamCold:         "upstream is cold; its requests are limited over all gateways",
	EventAttemptSent:          "call sent to an upstream",
	EventAttemptEnded:         "call attempt failed",
	EventRequestServed:        "call answered by an upstream",
	EventCallerDisconnected:   "caller disconnected",
	EventQuotaRestored:        "recent admissions restored from the store",
	EventPromptPartBlocked:    "prompt part blocked: engines crash under it",
	EventPromptPartReleased:   "prompt part released",
	EventRequestBlocked:       "request blocked: upstreams crash under it",
	EventRequestReleased:      "request released",
	EventUpstreamRefusal:      "upstream wants no requests for a time",
	EventRequestPanicked:      "request caused a panic",
	EventPartitionBegan:       "upstreams of a service are unreachable from this gateway; its calls are forwarded to peers",
	EventPartitionEnded:       "upstreams of a service are reachable again",
	EventForwardRefused:       "peer refused a forwarded call or was unreachable",
	EventConnectionsLimited:   "upstreams of a service do not answer; requests on new connections are limited",
	EventStreamMoved:          "stream goes on at another upstream",
	EventSuspectsNotStored:    "suspected prompt parts and requests were not written to the store",
	EventRequestLimitNamed:    "upstream named a request limit",
	EventRequestLimitEnded:    "upstream names no request limit any more",
	EventRolloutOrdered:       "rollout requested",
	EventRolloutVerdict:       "verdict on a rollout",
	EventDutyAcquired:         "duty lease acquired",
	EventDutyLost:             "duty lease lost",
	EventUsageReported:        "usage reported for a window",
	EventUpstreamsOrdered:     "upstreams requested from the platform",
	EventCapacityRequired:     "required number of upstreams of a service changed",
	EventCapacityLeaving:      "upstreams of a failure domain are announced to leave; replacements are planned",
	EventCapacityBasis:        "basis of the required number of upstreams changed",
	EventLogLinesDropped:      "log lines dropped",
	EventRequestQueued:        "request waits in the gateway: upstream capacity is occupied",
	EventQueueRefused:         "request refused by the queue of its service; it has not run",
	EventSpilloverBegan:       "requests of a service begin to leave the failure domain",
	EventSpilloverEnded:       "requests of a service stay in the failure domain again",
	EventRatesEstimated:       "estimated rates of the typical upstream of a service changed",
	EventMoveGivenUp:          "stream does not go on at another upstream: its run at the one before was not seen to end",
}

// Title returns the event's title, empty for a number that is not listed.
func (n EventNumber) Title() string { return eventTitles[n] }

// EventNumbers returns the listed numbers, in unspecified order.
func EventNumbers() []EventNumber {
	ns := make([]EventNumber, 0, len(eventTitles))
	for n := range eventTitles {
		ns = append(ns, n)
	}
	return ns
}
