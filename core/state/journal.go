package state

import (
	"samphirepaddle.example/core/model"
)

// maxJournalChanges bounds the journal. It covers about 15 s at 2,200 started and 2,200 ended
// attempts per second; a reader that is further behind reads the complete state.
const maxJournalChanges = 64 << 10

// change names the target or the job that a command changed; the other id is empty.
type change struct {
	revision model.Revision
	target   model.TargetID
	job      model.JobID
}

// journal lists the changes after the revision since. It is not part of snapshots.
type journal struct {
	since   model.Revision
	changes fifo[change]
}

func (j *journal) add(c change) {
	j.changes.push(c)
	if j.changes.len() > maxJournalChanges {
		j.since = j.changes.at(0).revision
		j.changes.pop()
	}
}

// Changes lists the targets and jobs that changed; an id may occur more than once.
type Changes struct {
	Targets []model.TargetID
	Jobs    []model.JobID
}

// ChangesSince returns the targets and jobs that changed after the revision. It reports false
// if the journal no longer holds all of these changes.
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
