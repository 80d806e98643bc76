package reserve

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"samphirepaddle.example/core/model"
)

// Guards against reservations beyond the capacity and against batch reservations of slots that
// are kept for quick requests, for random sequences of reservations and releases.
func TestReservationsStayWithinCapacity(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	capacity := model.Resources{Slots: 8, Connections: 8}
	kept := model.Resources{Slots: 2}
	table := NewTable(capacity)
	batch := map[string]int32{}
	for i := range 20_000 {
		id := strconv.Itoa(random.IntN(30))
		amount := model.Resources{Slots: 1 + random.Int32N(3), Connections: 1}
		switch random.IntN(3) {
		case 0:
			_ = table.ReserveQuick(id, amount)
		case 1:
			if table.ReserveBatch(id, amount, kept) == nil {
				batch[id] = amount.Slots
			}
		default:
			table.Release(id)
			delete(batch, id)
		}
		var held int32
		for _, slots := range batch {
			held += slots
		}
		if table.Free().Negative() || held > capacity.Slots-kept.Slots {
			t.Fatalf("step %d: free %+v, batch holds %d slots", i, table.Free(), held)
		}
	}
}
