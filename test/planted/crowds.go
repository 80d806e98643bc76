package planted

// crowds lists the root causes of the incidents with clients that hold memory or connections.
var crowds = []Fault{
	{
		ID: "wide-buffers", Origin: "incidents/unread-bytes.md",
		Brings: "Each connection keeps as much in the kernel as a large one, however many there are.",
		Edits:  []Edit{{"core/intake/plan.go", "b.ReceiveBuffer = min(int(perConnection), maxReceiveBuffer)", "b.ReceiveBuffer = maxReceiveBuffer"}},
		Checks: []Check{unit("core/intake", "TestListenerFitsItsMemory")},
	},
	{
		ID: "wide-send-buffers", Origin: "incidents/untaken-answers.md",
		Brings: "The kernel keeps megabytes of answers for each client that does not take them.",
		Edits:  []Edit{{"core/intake/plan.go", "b.SendBuffer = int(float64(b.ReceiveBuffer) * sendShare)", "b.SendBuffer = 4 << 20"}},
		Checks: []Check{unit("core/intake", "TestListenerFitsItsMemory"), unit("test/crowd", "TestAnswersThatNobodyReads")},
	},
	{
		ID: "unaccounted-frames", Origin: "incidents/unaccounted-frames.md",
		Brings: "Frames of streams to agents are read whatever memory there is.",
		Edits:  []Edit{{"daemon/agent/server.go", "if size > smallFrame {", "if size < 0 {"}},
		Checks: []Check{unit("test/crowd", "TestStreamsThatStopWithinAFrame")},
	},
	{
		ID: "kept-streams", Origin: "incidents/silent-streams.md",
		Brings: "A stream on which nothing arrives keeps its connection from others.",
		Edits: []Edit{{"daemon/intake/guard.go", "case http.StateActive, http.StateHijacked:\n\t\t\tcounted.note(intake.Receiving)",
			"case http.StateHijacked:\n\t\t\tcounted.note(intake.Serving)\n\t\tcase http.StateActive:\n\t\t\tcounted.note(intake.Receiving)"}},
		Checks: []Check{unit("daemon/intake", "TestTakenOverConnectionsGiveWay")},
	},
	{
		ID: "all-descriptors", Origin: "incidents/tenants-descriptors.md",
		Brings: "Callers may open as many connections as a daemon with pools of its own has descriptors.",
		Edits: []Edit{{"daemon/cmd/samphired/guards.go", "min(d.settings.MaxConnections, int(publicDescriptorShare*float64(descriptors)))",
			"d.settings.MaxConnections"}},
		Checks: []Check{unit("test/crowd", "TestTenantsWithMoreConnectionsThanDescriptors")},
	},
	{
		ID: "unguarded-peers", Origin: "incidents/unguarded-peers.md",
		Brings: "The listener for other daemons reads bodies whatever memory there is.",
		Edits:  []Edit{{"daemon/cmd/samphired/daemon.go", "d.peerGuard.Handler(peerMux)", "peerMux"}},
		Checks: []Check{unit("test/crowd", "TestPeersThatStopShortOfTheEnd")},
	},
	{
		ID: "counted-output", Origin: "incidents/streamed-output.md",
		Brings: "The blocks of a stream count until it ends.",
		Edits:  []Edit{{"daemon/intake/answer.go", "defer a.hold(int64(len(data)))()", "a.hold(int64(len(data)))"}},
		Checks: []Check{unit("daemon/intake", "TestStreamedAnswerHoldsOneBlock")},
	},
	{
		ID: "trickling-clients", Origin: "incidents/trickling-clients.md",
		Brings: "A client that sends a byte now and then never gives way.",
		Edits:  []Edit{{"core/intake/bodies.go", "minProgress = 1 << 10", "minProgress = 1"}},
		Checks: []Check{unit("core/intake", "TestBodiesThatTrickleGiveWay|TestConnectionsThatTrickleGiveWay")},
	},
	{
		ID: "idle-first", Origin: "incidents/idle-connections.md",
		Brings: "Kept connections are closed before those of clients that send nothing.",
		Edits:  []Edit{{"core/intake/connections.go", "{stalled, idle, greedy}", "{idle, stalled, greedy}"}},
		Checks: []Check{unit("core/intake", "TestStalledConnectionsGiveWayBeforeIdleOnes")},
	},
	{
		ID: "waiting-bodies", Origin: "incidents/waiting-bodies.md",
		Brings: "Bodies that hold a part of the memory wait for each other until all are refused.",
		Edits:  []Edit{{"core/intake/bodies.go", ", b.lastOfDeadlock(grown))", ", nil)"}},
		Checks: []Check{unit("core/intake", "TestBodiesThatWaitForEachOther")},
	},
	{
		ID: "vain-waits", Origin: "incidents/vain-waits.md",
		Brings: "A body waits although those before it need all the memory.",
		Edits:  []Edit{{"core/intake/bodies.go", "victim == nil && b.waitsInVain(grown, bytes)", "victim == nil && b == nil"}},
		Checks: []Check{unit("core/intake", "TestBodyThatWaitsInVainIsRefusedAtOnce")},
	},
	{
		ID: "untold-memory", Origin: "incidents/untold-memory.md",
		Brings: "A process that is told no memory takes the same on a small machine as on a large one.",
		Edits:  []Edit{{"daemon/intake/machine.go", "return min(limit, int64(memoryShare*float64(machine)))", "return limit"}},
		Checks: []Check{unit("daemon/intake", "TestDefaultsFitTheMachine")},
	},
	{
		ID: "small-calls", Origin: "incidents/large-configurations.md",
		Brings: "A configuration of legal size does not fit into the call that carries it to the leader.",
		Edits:  []Edit{{"daemon/fleet/rpc.go", "MaxCallBytes = 10 << 20", "MaxCallBytes = 5 << 20"}},
		Checks: []Check{unit("platform", "TestLargestConfigurationFitsACall")},
	},
}
