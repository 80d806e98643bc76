package dispatch

// PlannerState is the state of the planner that is kept between scheduling passes. It is not
// replicated: a new leader starts with an empty one.
type PlannerState struct {
	InterferenceModel *InterferenceModel
	ShortTaskReserve  *ShortTaskReserve
	RestartHistory    *RestartHistory
	NearWaits         *NearWaits
}

// NewPlannerState returns the state of a planner that has processed no snapshot yet.
func NewPlannerState() *PlannerState {
	return &PlannerState{InterferenceModel: NewInterferenceModel(), ShortTaskReserve: NewShortTaskReserve(), RestartHistory: NewRestartHistory(), NearWaits: NewNearWaits()}
}
