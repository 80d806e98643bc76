package dispatch

// PlannerState is what the planner carries from pass to pass. A new leader begins with an empty one.
type PlannerState struct {
	InterferenceModel *Pressure
	Reserve           *Reserve
}

// NewPlannerState returns an empty memory.
func NewPlannerState() *PlannerState {
	return &PlannerState{InterferenceModel: NewPressure(), Reserve: NewReserve()}
}
