package fleet

import (
	"context"
	"testing"

	"samphirepaddle.example/core/state"
)

// reportCapacity reports the worker with a capacity in millicores.
func (r *rig) reportCapacity(w *fakeWorker, sequence uint64, cpuMillis int64) {
	r.t.Helper()
	worker := w.worker
	worker.CPUMillis = cpuMillis
	r.until("the report is recorded", func() bool {
		_, err := r.engine.ReportWorker(context.Background(), WorkerReport{Worker: worker, Sequence: sequence, Clock: w.clock()})
		return err == nil
	})
}

func (r *rig) recordedCapacity(w *fakeWorker) int64 {
	var cpuMillis int64
	r.log.View(func(st *state.State) { cpuMillis = st.Workflows.Workers[w.worker.Incarnation.Worker].CPUMillis })
	return cpuMillis
}

func TestLateHeartbeatAfterLeaderChangeDoesNotRestoreCapacity(t *testing.T) {
	r := newRig(t)
	w := r.addWorker("a", 1)
	r.reportCapacity(w, 5, 1000)
	r.stop()
	r.startEngine()
	r.reportCapacity(w, 4, 4000)
	if got := r.recordedCapacity(w); got != 1000 {
		t.Errorf("the recorded capacity is %d millicores after a heartbeat from before it shrank, want 1000", got)
	}
	r.reportCapacity(w, 6, 4000)
	if got := r.recordedCapacity(w); got != 4000 {
		t.Errorf("the recorded capacity is %d millicores after it grew again, want 4000", got)
	}
}
