package workflow

import "testing"

// Guards against a gang whose members start from different checkpoints: each had its own last one.
func TestMembersOfAGangStartFromOneCheckpoint(t *testing.T) {
	const members = 3
	type outcome struct {
		member     int
		checkpoint string
		lost       bool // with its worker, which listed the checkpoint last
	}
	for name, c := range map[string]struct {
		starts [][]outcome // of each start, in the order in which the attempts are closed
		want   string
	}{
		"no checkpoint":                         {[][]outcome{{{0, "", true}, {1, "", false}, {2, "", false}}}, ""},
		"the lost member is closed last":        {[][]outcome{{{1, "c3", false}, {2, "c4", false}, {0, "c1", true}}}, "c4"},
		"the lost member is closed first":       {[][]outcome{{{0, "c1", true}, {1, "c3", false}, {2, "", false}}}, "c3"},
		"all members are lost":                  {[][]outcome{{{0, "c1", true}, {1, "", true}, {2, "", true}}}, "c1"},
		"the next start ends without a new one": {[][]outcome{{{0, "c1", true}, {1, "", true}, {2, "", true}}, {{0, "", true}, {1, "", false}, {2, "", false}}}, "c1"},
		"a later start has a new one":           {[][]outcome{{{0, "c1", false}, {1, "c2", false}, {2, "c3", false}}, {{2, "c5", true}, {1, "", true}, {0, "", true}}}, "c5"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newCrashRig(t)
			submit(t, r.state, "gang", StepSpec{Count: members, Gang: true, Checkpoints: true})
			w := worker("w", 1)
			r.apply(Batch{Workers: []Worker{w}})
			number, ended := uint32(0), uint64(0)
			start := func() {
				number++
				var b Batch
				for i := range members {
					b.Assign = append(b.Assign, assign(key("gang", 0, i), number, w.Incarnation))
				}
				r.apply(b)
			}
			for _, outcomes := range c.starts {
				start()
				for _, o := range outcomes {
					a := Attempt{key("gang", 0, o.member), number}
					if o.lost {
						r.apply(Batch{Lost: []LostAttempt{{Incarnation: w.Incarnation, Attempt: a, Checkpoint: o.checkpoint}}})
						continue
					}
					ended++
					r.apply(Batch{Ends: []End{{Incarnation: w.Incarnation, Number: ended, Attempt: a, Kind: EndGangBroken, Checkpoint: o.checkpoint}}})
				}
			}
			r.restart()
			start()
			for i := range members {
				_, task, ok := r.state.StartArguments(Attempt{key("gang", 0, i), number}, w.Incarnation)
				if !ok || task.Checkpoint != c.want {
					t.Errorf("member %d starts (%v) from %q, want %q", i, ok, task.Checkpoint, c.want)
				}
			}
		})
	}
}
