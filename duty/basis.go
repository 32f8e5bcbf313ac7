package duty

import (
	"dandelionrail.org/rail/capacity"
	"dandelionrail.org/rail/gateway"
)

// Basis is what the required number of upstreams was derived from.
type Basis struct {
	estimated bool
	// tokens is the demand in prompt tokens a second if the rates are not known.
	tokens  float64
	demand  capacity.Demand
	engine  capacity.Engine
	need    capacity.Need
	planned float64
}

// Estimated reports whether the rates of the engines were known.
func (b Basis) Estimated() bool { return b.estimated }

// fields returns the inputs of the decision for a log line.
func (b Basis) fields() []gateway.Field {
	if !b.estimated {
		return []gateway.Field{gateway.NewField("estimated", false), gateway.NewField("demand", int64(b.tokens)), gateway.NewField("planned", b.planned)}
	}
	return []gateway.Field{
		gateway.NewField("estimated", true), gateway.NewField("planned", b.planned), gateway.NewField("work", b.need.Work()),
		gateway.NewField("utilisation", b.need.Utilisation()), gateway.NewField("backlog", b.need.Backlog()),
		gateway.NewField("prompt", int64(b.demand.Prompt())), gateway.NewField("output", int64(b.demand.Output())), gateway.NewField("waiting", b.demand.Waiting()),
		gateway.NewField("gateways", b.demand.Gateways()), gateway.NewField("promptRate", int64(b.engine.Rates().PromptTokensPerSecond())),
		gateway.NewField("stepUs", b.engine.Rates().Step(1).Microseconds()), gateway.NewField("goalMs", b.engine.Goal().Milliseconds()),
	}
}
