package expertmap

// EngineModel is the reference implementation of an engine's side of the protocol: test engines use it, and real
// engines are expected to behave the same way. It ignores fencing tokens and enforces only the conditions that each
// order names.
type EngineModel struct {
	EngineReport
	previous MapID
	// CannotLoad makes every order to load weights fail.
	CannotLoad bool
}

// NewEngineModel returns an engine that has no map and has started all steps before next.
func NewEngineModel(next Step) *EngineModel {
	return &EngineModel{EngineReport: EngineReport{Limit: NoLimit, Next: next}}
}

// MapAt returns the map under which the engine runs step t. The engine remembers its newest map and the one before
// it.
func (e *EngineModel) MapAt(t Step) MapID {
	if t >= e.Start {
		return e.Map
	}
	return e.previous
}

// MayStart reports whether the engine may start its next step.
func (e *EngineModel) MayStart() bool { return e.Next < e.Limit && !e.MapAt(e.Next).IsZero() }

// Apply executes an order, or refuses it if its conditions do not hold. The next report shows which.
func (e *EngineModel) Apply(o Order) {
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
