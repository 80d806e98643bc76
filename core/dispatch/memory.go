package dispatch

// Memory is the planner state that is kept between scheduling passes. It is not replicated: a
// new leader starts with an empty one.
type Memory struct {
	Pressure         *InterferenceModel
	ShortTaskReserve *ShortTaskReserve
}

// NewMemory returns the state of a planner that has seen no worker yet.
func NewMemory() *Memory {
	return &Memory{Pressure: NewInterferenceModel(), ShortTaskReserve: NewShortTaskReserve()}
}
