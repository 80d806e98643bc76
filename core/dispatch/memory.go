package dispatch

// PlannerState is the planner state that is kept between scheduling passes. It is not replicated: a
// new leader starts with an empty one.
type PlannerState struct {
	InterferenceModel *InterferenceModel
	ShortTaskReserve  *ShortTaskReserve
}

// NewPlannerState returns the state of a planner that has seen no worker yet.
func NewPlannerState() *PlannerState {
	return &PlannerState{InterferenceModel: NewInterferenceModel(), ShortTaskReserve: NewShortTaskReserve()}
}
