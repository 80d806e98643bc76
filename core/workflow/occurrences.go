package workflow

import (
	"math/bits"
	"sort"

	"samphirepaddle.example/core/model"
)

const wordBits = 64

// MaxWaitingOccurrences is the number of occurrences of a backlog, of those in time and of those that are late each, for
// which a planner keeps how long they wait.
const MaxWaitingOccurrences = 8

// occurrenceSet is a set of occurrences of a job, one bit each. It grows with the highest member, so its size is bounded
// by the number of occurrences that the job declares and does not depend on how long the job lives.
type occurrenceSet []uint64

func (s occurrenceSet) has(occurrence int) bool {
	word := occurrence / wordBits
	return occurrence >= 0 && word < len(s) && s[word]&(1<<(occurrence%wordBits)) != 0
}

func (s *occurrenceSet) add(occurrence int) {
	word := occurrence / wordBits
	if word >= len(*s) {
		*s = append(*s, make(occurrenceSet, word+1-len(*s))...)
	}
	(*s)[word] |= 1 << (occurrence % wordBits)
}

// nextMissing returns the lowest occurrence from the given one on that is not a member.
func (s occurrenceSet) nextMissing(from int) int {
	for word := from / wordBits; word < len(s); word++ {
		missing := ^s[word]
		if word == from/wordBits {
			missing &= ^uint64(0) << (from % wordBits)
		}
		if missing != 0 {
			return word*wordBits + bits.TrailingZeros64(missing)
		}
	}
	return max(from, len(s)*wordBits)
}

// count returns the number of members from the first occurrence to the one before until.
func (s occurrenceSet) count(from, until int) int {
	total := 0
	for word := from / wordBits; word < len(s) && word*wordBits < until; word++ {
		members := s[word]
		if first := word * wordBits; first < from {
			members &= ^uint64(0) << (from - first)
		}
		if end := until - word*wordBits; end < wordBits {
			members &= 1<<end - 1
		}
		total += bits.OnesCount64(members)
	}
	return total
}

// DueCount returns how many occurrences of a job are due: all from the first one on, or the only one of a job without a
// schedule.
func (j *Job) DueCount(now model.Millis) int {
	if j.Repeats == 0 {
		return 1
	}
	return sort.Search(j.Repeats, func(occurrence int) bool { return j.DueAt(occurrence) > now })
}

// DueAt returns the due time of an occurrence of a job with a schedule.
func (j *Job) DueAt(occurrence int) model.Millis {
	return j.FirstMs + model.Millis(occurrence)*j.Interval
}

// NextUnstarted returns the first occurrence in the given range of which no task was assigned. ok is false if there is
// none. It takes a time that depends on the runs of the job, not on the length of the range.
func (j *Job) NextUnstarted(from, until int) (occurrence int, ok bool) {
	for from < until {
		from = j.Completed.nextMissing(from)
		if from >= until {
			break
		}
		if j.Runs[from] == nil {
			return from, true
		}
		from++
	}
	return 0, false
}

// CountUnstarted returns the number of occurrences in the given range of which no task was assigned.
func (j *Job) CountUnstarted(from, until int) int {
	count := until - from - j.Completed.count(from, until)
	for occurrence := range j.Runs {
		if occurrence >= from && occurrence < until {
			count--
		}
	}
	return count
}
