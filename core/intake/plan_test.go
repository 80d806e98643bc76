package intake

import "testing"

// Guards against a listener whose connections together hold more in the kernel than there is memory for them, and
// against buffers with which a large legal body does not arrive in time.
func TestListenerFitsItsMemory(t *testing.T) {
	const mib = 1 << 20
	for _, bytes := range []int64{1 * mib, 6 * mib, 13 * mib, 37 * mib, 57 * mib, 130 * mib, 800 * mib} {
		for _, connections := range []int{1, 32, 300, 1170, 4096} {
			b := PlanListener(bytes, connections)
			if b.Bytes() > bytes {
				t.Errorf("%d bytes, %d connections: %+v holds up to %d", bytes, connections, b, b.Bytes())
			}
			if b.ReceiveBuffer < minReceiveBuffer || b.ReceiveBuffer > maxReceiveBuffer || b.Connections > connections || b.Backlog > b.Connections {
				t.Errorf("%d bytes, %d connections: %+v", bytes, connections, b)
			}
		}
	}
	if b := PlanListener(130*mib, 32); b.Connections != 32 || b.ReceiveBuffer != maxReceiveBuffer {
		t.Errorf("few connections with much memory get %+v", b)
	}
	if b := PlanListener(1*mib, 4096); b.Connections >= 4096 || b.Connections < 32 {
		t.Errorf("with little memory %d connections are admitted", b.Connections)
	}
}
