package peer

import (
	"slices"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/digest"
	"dandelionrail.org/rail/gen/railv1"
)

// factKinds maps the kinds that have a number in the wire format to it.
var factKinds = map[rail.FactKind]railv1.FactKind{
	rail.FactLeaving:  railv1.FactKind_FACT_KIND_LEAVING,
	rail.FactBrake:    railv1.FactKind_FACT_KIND_BRAKE,
	rail.FactDocument: railv1.FactKind_FACT_KIND_DOCUMENT,
	rail.FactLoad:     railv1.FactKind_FACT_KIND_LOAD,
	rail.FactEvidence: railv1.FactKind_FACT_KIND_EVIDENCE,
	rail.FactDemand:   railv1.FactKind_FACT_KIND_DEMAND,
	rail.FactAlive:    railv1.FactKind_FACT_KIND_ALIVE,
	rail.FactInstance: railv1.FactKind_FACT_KIND_INSTANCE,
}

// factKindsByNumber is the inverse of factKinds.
var factKindsByNumber = func() map[railv1.FactKind]rail.FactKind {
	kinds := map[railv1.FactKind]rail.FactKind{}
	for kind, number := range factKinds {
		kinds[number] = kind
	}
	return kinds
}()

// batchMessages encodes batches; an origin that is in the sorted shared ones is encoded as its position, counted from 1.
func batchMessages(batches []digest.Batch, shared []rail.Incarnation) []*railv1.FactBatch {
	messages := make([]*railv1.FactBatch, 0, len(batches))
	for _, b := range batches {
		m := &railv1.FactBatch{After: b.After(), UpTo: b.UpTo(), Urgent: b.Urgent()}
		if index, found := slices.BinarySearch(shared, b.Origin()); found {
			m.Place = uint32(index + 1)
		} else {
			m.Origin = string(b.Origin())
		}
		for _, f := range b.Facts() {
			m.Facts = append(m.Facts, factMessage(f, b.After()))
		}
		messages = append(messages, m)
	}
	return messages
}

func factMessage(f rail.Fact, after uint64) *railv1.Fact {
	m := &railv1.Fact{Subject: f.Key().Subject(), Value: f.Value(), Offset: f.Sequence() - after}
	if kind, ok := factKinds[f.Key().Kind()]; ok {
		m.Kind = kind
	} else {
		m.OtherKind = string(f.Key().Kind())
	}
	return m
}

// batchesFrom decodes batches and omits those without a valid origin.
func batchesFrom(messages []*railv1.FactBatch, shared []rail.Incarnation) []digest.Batch {
	batches := make([]digest.Batch, 0, len(messages))
	for _, m := range messages {
		origin := rail.Incarnation(m.GetOrigin())
		if place := int(m.GetPlace()); place > 0 && place <= len(shared) {
			origin = shared[place-1]
		}
		if origin == "" {
			continue
		}
		facts := make([]rail.Fact, 0, len(m.GetFacts()))
		for _, f := range m.GetFacts() {
			facts = append(facts, factFrom(f, origin, m.GetAfter()))
		}
		batches = append(batches, digest.NewBatch(origin, m.GetUrgent(), m.GetAfter(), m.GetUpTo(), facts))
	}
	return batches
}

func factFrom(m *railv1.Fact, origin rail.Incarnation, after uint64) rail.Fact {
	kind, ok := factKindsByNumber[m.GetKind()]
	if !ok {
		kind = rail.FactKind(m.GetOtherKind())
	}
	key := rail.NewFactKey(kind, m.GetSubject(), origin)
	return rail.NewFact(key, after+m.GetOffset(), m.GetValue())
}

// RequestMessage encodes a digest request.
func RequestMessage(r digest.Request) *railv1.ExchangeRequest {
	return &railv1.ExchangeRequest{
		Set:       r.Summary().Set(),
		Ids:       r.Summary().IDs(),
		Sequences: r.Summary().Sequences(),
		Pushed:    batchMessages(r.Pushed(), nil),
	}
}

// RequestFrom decodes a digest request.
func RequestFrom(m *railv1.ExchangeRequest) digest.Request {
	summary := digest.NewSummary(m.GetSet(), m.GetIds(), m.GetSequences())
	return digest.NewRequest(summary, batchesFrom(m.GetPushed(), nil), nil)
}

// ResponseMessage encodes a digest response.
func ResponseMessage(r digest.Response) *railv1.ExchangeResponse {
	return &railv1.ExchangeResponse{
		UnknownSet: r.UnknownSet(),
		Batches:    batchMessages(r.Batches(), r.Origins()),
	}
}

// ResponseFrom decodes the response to a request.
func ResponseFrom(m *railv1.ExchangeResponse, request digest.Request) digest.Response {
	batches := batchesFrom(m.GetBatches(), request.Origins())
	return digest.NewResponse(m.GetUnknownSet(), batches, nil)
}
