package state

import (
	"samphirepaddle.example/core/model"
)

// keptChanges is the number of changes that the journal remembers. At 2,200 starts and as
// many ends per second it covers about 15 s; a reader that is further behind reads everything.
const keptChanges = 64 << 10

// change names the target or the job that a command changed.
type change struct {
	revision model.Revision
	target   model.TargetID
	job      model.JobID
}

// journal lists what changed after the revision since. It is not part of snapshots.
type journal struct {
	since   model.Revision
	changes fifo[change]
}

func (j *journal) add(c change) {
	j.changes.push(c)
	if j.changes.len() > keptChanges {
		j.since = j.changes.at(0).revision
		j.changes.pop()
	}
}

// Changes lists the targets and jobs that changed, each at least once.
type Changes struct {
	Targets []model.TargetID
	Jobs    []model.JobID
}

// ChangesSince returns what changed after the revision. It reports false if some of it is no
// longer remembered.
func (s *State) ChangesSince(revision model.Revision) (Changes, bool) {
	if revision < s.journal.since {
		return Changes{}, false
	}
	var out Changes
	list := &s.journal.changes
	for i := list.len() - 1; i >= 0 && list.at(i).revision > revision; i-- {
		if c := list.at(i); c.job != "" {
			out.Jobs = append(out.Jobs, c.job)
		} else {
			out.Targets = append(out.Targets, c.target)
		}
	}
	return out, true
}
