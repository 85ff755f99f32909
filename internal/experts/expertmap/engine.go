package expertmap

// EngineModel is an engine's part of the protocol in code: what stand-ins and fakes must do and real engines are
// trusted to do. It ignores fencing numbers and keeps to the conditions that each order names.
type EngineModel struct {
	EngineReport
	previous MapID
	// CannotLoad makes loading weights fail.
	CannotLoad bool
}

// NewEngineModel returns an engine without a map that has started all steps below next.
func NewEngineModel(next Step) *EngineModel {
	return &EngineModel{EngineReport: EngineReport{Limit: NoLimit, Next: next}}
}

// At returns the map under which the engine runs a step. It remembers its newest map and the one before.
func (e *EngineModel) At(t Step) MapID {
	if t >= e.Start {
		return e.Map
	}
	return e.previous
}

// MayStart reports whether the engine may start its next step.
func (e *EngineModel) MayStart() bool { return e.Next < e.Limit && !e.At(e.Next).IsZero() }

// Obey carries an order out or refuses it.
func (e *EngineModel) Obey(o Order) {
	e.Order = o.ID
	if o.Map != e.Map {
		return
	}
	switch o.Kind {
	case OrderStage:
		e.load(o.To)
	case OrderLimit:
		if e.Next <= o.Step {
			e.Limit = o.Step
		}
	case OrderLift:
		if e.Limit == o.Step {
			e.Limit = NoLimit
		}
	case OrderSwitch:
		if e.Staged == o.To && (e.Next <= o.Step || e.Map.IsZero()) {
			e.previous, e.Map, e.Start = e.Map, o.To, o.Step
			e.Limit, e.Staged = NoLimit, MapID{}
		}
	}
}

func (e *EngineModel) load(m MapID) {
	e.Staged, e.Failed = m, MapID{}
	if e.CannotLoad {
		e.Staged, e.Failed = MapID{}, m
	}
}
