package intake

// Bounds of what the kernel keeps for one connection.
const (
	minReceiveBuffer = 8 << 10
	// maxReceiveBuffer is a window with which a large body still uses a fast link.
	maxReceiveBuffer = 128 << 10
	// sendShare is the send buffer as a part of the receive buffer. Most answers are smaller than requests.
	sendShare = 0.5
	// maxBacklog bounds the connections that are complete and not accepted, if the listener admits as many.
	maxBacklog = 512
)

// ListenerBudget is what a listener may hold in the kernel. The kernel accepts bytes for a connection before the process
// knows of them, also for one that the process has not accepted, so the sum has to fit whatever clients send.
type ListenerBudget struct {
	Connections   int // admitted at the same time
	Backlog       int // complete and not accepted
	ReceiveBuffer int // bytes that have arrived on one connection and are not read
	SendBuffer    int // bytes of answers that the client of one connection has not taken
}

// Bytes returns the most that the kernel keeps for the connections of the listener.
func (b ListenerBudget) Bytes() int64 {
	return int64(b.Connections)*int64(b.ReceiveBuffer+b.SendBuffer) + int64(b.Backlog)*int64(b.ReceiveBuffer)
}

// PlanListener divides the memory for connections of a listener among at most so many of them. It answers crowds
// whose bodies arrive and cannot be read, and clients that do not take their answers: each connection gets
// the largest buffers that fit if all are full, and fewer connections are admitted if the smallest buffers do not.
func PlanListener(bytes int64, connections int) ListenerBudget {
	b := ListenerBudget{Connections: max(1, connections)}
	b.Backlog = min(b.Connections, maxBacklog)
	perConnection := float64(bytes) / (float64(b.Connections)*(1+sendShare) + float64(b.Backlog))
	if perConnection < minReceiveBuffer {
		perConnection = minReceiveBuffer
		// The backlog counts like an admitted connection, so that the sum stays within the memory.
		fitting := int(float64(bytes) / (minReceiveBuffer * (2 + sendShare)))
		b.Connections = max(1, min(b.Connections, fitting))
		b.Backlog = min(b.Connections, maxBacklog)
	}
	b.ReceiveBuffer = min(int(perConnection), maxReceiveBuffer)
	b.SendBuffer = int(float64(b.ReceiveBuffer) * sendShare)
	return b
}
