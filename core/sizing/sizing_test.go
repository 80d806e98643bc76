package sizing_test

import (
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/sizing"
)

// Guards against reservations below the usage of the class, against invalid reports raising an
// estimate, and against a declared run time being used without an estimate.
func TestReservesTheGreaterOfDeclaredAndLearned(t *testing.T) {
	m := sizing.New()
	capacity := model.Resources{Slots: 8, CPUMillis: 16_000, MemoryMiB: 60_000}
	declared := model.Resources{Slots: 1, CPUMillis: 200, MemoryMiB: 9000}
	if got := m.ReservationSize("k", declared); got != declared {
		t.Fatalf("without data: %+v, want the declared size", got)
	}
	if _, known := m.RunTime("k", 1000); known {
		t.Fatal("a declared run time is taken as known")
	}
	for range 5 {
		m.ObserveUsage("k", model.Resources{CPUMillis: 2000, MemoryMiB: 4000}, capacity)
		m.ObserveUsage("k", model.Resources{CPUMillis: 2000, MemoryMiB: 4_000_000}, capacity)
		m.ObserveUsage("k", model.Resources{CPUMillis: -1}, capacity)
		m.ObserveRunTime("k", 10_000)
	}
	got := m.ReservationSize("k", declared)
	if got.CPUMillis < 2000 || got.CPUMillis > 2100 || got.MemoryMiB != 9000 || got.Slots != 1 {
		t.Fatalf("reservation = %+v, want 2000 CPU from reports and 9000 MiB as declared", got)
	}
	if m.Discarded != 10 {
		t.Fatalf("%d invalid reports counted, want 10", m.Discarded)
	}
	if took, known := m.RunTime("k", 1000); !known || took < 10_000 {
		t.Fatalf("run time %d, %v, want the learned one", took, known)
	}
}
