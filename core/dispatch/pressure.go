package dispatch

import (
	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/workflow"
)

// Pressure is what the scheduler has learned about how tasks that use spare capacity disturb
// tasks that serve. The tail of a serving task is modelled as base / (1 - rho), where rho is
// the load of its job plus, for each neighbour that fills, a coefficient of the pair of images
// times the share of the worker's cores that the neighbour uses.
//
// The load is common to all tasks of a serving job and changes slowly; coefficients hardly
// change. What a figure misses of the prediction corrects both, each in proportion to its
// uncertainty. The load is not extrapolated: within the half second of a figure it changes by
// 0.06 at most, and a trend that is computed from figures this rough is mostly noise.
type Pressure struct {
	images map[string]*sensitivity  // of serving tasks
	loads  map[workflow.JobID]*load // of serving jobs
	seen   map[workflow.TaskKey]figure
}

// figure is the last figure of a serving task and what it missed of the prediction.
type figure struct {
	tail model.Millis
	used float64 // by its neighbours
	miss float64
}

// load is the load of a serving job.
type load struct {
	level    float64
	variance float64
	at       model.Millis
}

// Bounds of the model.
const (
	unknownPair = 0.8  // coefficient before any figure; pairs turn out near 0 or between 0.6 and 2.2
	maxPair     = 4.0  // of a coefficient
	minPair     = -0.1 // lets noise around 0 average out
	maxRho      = 0.95 // tails above twenty times the base tell no more
	maxLoad     = 0.90
	defaultLoad = 0.45 // of a job without a figure yet
	minTailMs   = 1.0
	missWeight  = 0.4 // of a figure's miss in the next prediction; a single figure is rough
)

// NewPressure returns a model that knows nothing yet.
func NewPressure() *Pressure {
	return &Pressure{
		images: map[string]*sensitivity{}, loads: map[workflow.JobID]*load{}, seen: map[workflow.TaskKey]figure{},
	}
}

// coefficient returns how much a filling image presses on a serving one.
func (p *Pressure) coefficient(serving, filling string) float64 {
	if s := p.images[serving]; s != nil {
		if i, ok := s.images[filling]; ok {
			return max(0, s.coefficients[i])
		}
	}
	return unknownPair
}

// sensitivityOf returns what is known of a serving image. A new one takes the place of the one
// without figures for longest if there are too many.
func (p *Pressure) sensitivityOf(image string, now model.Millis) *sensitivity {
	s := p.images[image]
	if s != nil {
		return s
	}
	if len(p.images) >= mostImages {
		oldest := ""
		for name, known := range p.images {
			if oldest == "" || known.at < p.images[oldest].at || (known.at == p.images[oldest].at && name < oldest) {
				oldest = name
			}
		}
		delete(p.images, oldest)
	}
	s = newSensitivity(now)
	p.images[image] = s
	return s
}

// base is the least tail seen of an image, in milliseconds.
func (p *Pressure) base(image string) (tail float64, known bool) {
	s := p.images[image]
	if s == nil || s.base == 0 {
		return 0, false
	}
	return s.base, true
}

// rho turns a tail into the utilisation that causes it.
func (p *Pressure) rho(image string, tail model.Millis) float64 {
	base, ok := p.base(image)
	if !ok || tail <= 0 {
		return defaultLoad
	}
	return min(maxRho, max(0, 1-base/float64(tail)))
}

// limit is the utilisation at which the tail reaches the target.
func (p *Pressure) limit(step *workflow.StepSpec) float64 {
	base, ok := p.base(step.Image)
	if !ok {
		base = float64(step.TailTargetMs) / unknownTargetRatio
	}
	return max(0.2, min(maxRho, 1-base/float64(step.TailTargetMs)))
}

// unknownTargetRatio is the ratio of target to base that is assumed before any figure.
const unknownTargetRatio = 4.0

// load returns what is known of the load of a serving job.
func (p *Pressure) load(job workflow.JobID) float64 {
	if l := p.loads[job]; l != nil {
		return l.level
	}
	return defaultLoad
}

// Observe learns from the new figures of one worker.
func (p *Pressure) Observe(now model.Millis, w *Worker) {
	uses := imageUses(w)
	used := 0.0
	for _, u := range uses {
		used += u.share
	}
	for i := range w.Residents {
		r := &w.Residents[i]
		if !atWork(r) {
			continue
		}
		last, ok := p.seen[r.Attempt.Task]
		if ok && last.tail == r.TailMs && last.used == used {
			continue // the same figure again
		}
		s := p.sensitivityOf(r.Step.Image, now)
		if tail := max(minTailMs, float64(r.TailMs)); s.base == 0 || tail < s.base {
			s.base = tail
		}
		p.seen[r.Attempt.Task] = figure{r.TailMs, used, p.learn(now, r, uses, s)}
	}
}

// atWork reports whether the figure of a serving task counts: during its startup it serves
// nobody.
func atWork(r *Resident) bool {
	return r.Step.Serving() && r.Listed && r.TailMs > 0 && r.Percent >= 100
}

// learn corrects the load of the job and the coefficients, and returns the miss.
func (p *Pressure) learn(now model.Millis, r *Resident, uses []imageUse, s *sensitivity) float64 {
	for _, u := range uses {
		s.indexOf(u.image, now)
	}
	s.drift(now)
	expected, variance, spread := s.pressureOf(uses)
	rho := p.rho(r.Step.Image, r.TailMs)
	l := p.loads[r.Attempt.Task.Job]
	if l == nil {
		l = &load{level: min(maxLoad, max(0, rho-expected)), variance: startVariance, at: now}
		p.loads[r.Attempt.Task.Job] = l
	}
	l.variance += loadVariance * float64(max(0, now-l.at)) / 1000
	l.at = now
	miss := rho - l.level - expected
	total := variance + l.variance + figureVariance
	gain := l.variance / total
	l.level = min(maxLoad, max(0, l.level+gain*miss))
	l.variance *= 1 - gain
	s.correct(uses, miss, total, spread)
	return miss
}

// Forget drops what belongs to serving jobs that have ended.
func (p *Pressure) Forget(live func(workflow.JobID) bool) {
	for job := range p.loads {
		if !live(job) {
			delete(p.loads, job)
		}
	}
	for key := range p.seen {
		if !live(key.Job) {
			delete(p.seen, key)
		}
	}
}

// imageUse is the share of a worker's cores that the fillers of one image use.
type imageUse struct {
	image string
	share float64
}

func imageUses(w *Worker) []imageUse {
	var uses []imageUse
	for i := range w.Residents {
		r := &w.Residents[i]
		if !r.filling() || !r.Listed {
			continue
		}
		share := float64(r.CPUUsed) / float64(max(1, w.CPUMillis))
		found := false
		for j := range uses {
			if uses[j].image == r.Step.Image {
				uses[j].share += share
				found = true
			}
		}
		if !found {
			uses = append(uses, imageUse{r.Step.Image, share})
		}
	}
	return uses
}

// filling reports whether the resident takes spare capacity and may disturb serving tasks.
func (r *Resident) filling() bool { return r.Step.UsesSpareCPU && !r.Step.LongRunning }

// expectedUse is the share of the worker's cores that a filler uses at a pace.
func expectedUse(w *Worker, r *Resident, pace int) float64 {
	full := float64(r.Step.CPUMillis)
	if r.CPUUsed > 0 && r.Pace > 0 {
		full = max(0.5*full, float64(r.CPUUsed)*100/float64(r.Pace))
	}
	return full * float64(pace) / 100 / float64(max(1, w.CPUMillis))
}
