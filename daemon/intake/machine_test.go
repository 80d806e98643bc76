package intake

import "testing"

// Guards against defaults that exceed the memory of a small machine when the process is told none.
func TestDefaultsFitTheMachine(t *testing.T) {
	const mib, limit = 1 << 20, 32 << 20
	for _, c := range []struct{ process, machine, want int64 }{
		{process: 100 * mib, machine: 50 * mib, want: 20 * mib},
		{process: 1000 * mib, machine: 4000 * mib, want: 200 * mib},
		{machine: 100 * mib, want: 20 * mib},
		{machine: 4000 * mib, want: limit},
		{want: limit},
	} {
		if got := shareOf(c.process, c.machine, limit); got != c.want {
			t.Errorf("process %d, machine %d: %d, want %d", c.process, c.machine, got, c.want)
		}
	}
	if MachineBytes() <= 0 {
		t.Error("the memory of the machine is not known")
	}
}
