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
// change. What a figure misses of the prediction corrects both: the load mostly where little
// presses, the coefficients in proportion to what the neighbours use.
type Pressure struct {
	pairs map[imagePair]*pair
	base  map[string]float64       // least tail seen, by serving image, in milliseconds
	loads map[workflow.JobID]*load // of serving jobs
	seen  map[workflow.TaskKey]figure
}

// imagePair is the images of a serving task and of a neighbour.
type imagePair struct{ serving, filling string }

// pair is the coefficient of a pair and how often it was corrected.
type pair struct {
	coefficient float64
	corrections int
}

// rate falls with the number of corrections, so that early figures count most, to a floor
// that follows slow changes.
func (p *pair) rate() float64 {
	return max(slowRate, firstRate/(1+float64(p.corrections)/rateHalving))
}

// figure is the last figure of a serving task and what it missed of the prediction.
type figure struct {
	tail model.Millis
	used float64 // by its neighbours
	miss float64
}

// load is the load of a serving job.
type load struct {
	now    float64
	before float64 // up to slopeSpan earlier
	since  model.Millis
}

// Bounds of the model.
const (
	unknownPair  = 0.8  // coefficient before any figure; pairs turn out near 0 or between 0.6 and 2.2
	maxPair      = 4.0  // of a coefficient
	minPair      = -0.1 // lets noise around 0 average out
	firstRate    = 0.25 // of the normalised correction of the first figure
	slowRate     = 0.05 // and of the later ones
	rateHalving  = 20.0 // corrections after which the rate is half of the first
	shareNorm    = 0.01 // keeps corrections small when the neighbours use little
	maxRho       = 0.95 // tails above twenty times the base tell no more
	maxLoad      = 0.90
	freeGain     = 0.3  // of a miss that corrects the load, where nothing presses
	pressedGain  = 0.2  // and where something does
	pressedAbove = 0.02 // utilisation by neighbours
	slopeSpan    = model.Millis(1000)
	forecastSpan = 1.0  // slope spans ahead that a placement must hold
	defaultLoad  = 0.45 // of a job without a figure yet
	minTailMs    = 1.0
	missWeight   = 0.4 // of a figure's miss in the next prediction; a single figure is rough
)

// NewPressure returns a model that knows nothing yet.
func NewPressure() *Pressure {
	return &Pressure{
		pairs: map[imagePair]*pair{}, base: map[string]float64{},
		loads: map[workflow.JobID]*load{}, seen: map[workflow.TaskKey]figure{},
	}
}

// coefficient returns how much a filling image presses on a serving one.
func (p *Pressure) coefficient(serving, filling string) float64 {
	if c, ok := p.pairs[imagePair{serving, filling}]; ok {
		return max(0, c.coefficient)
	}
	return unknownPair
}

func (p *Pressure) pairOf(serving, filling string) *pair {
	key := imagePair{serving, filling}
	found := p.pairs[key]
	if found == nil {
		found = &pair{coefficient: unknownPair}
		p.pairs[key] = found
	}
	return found
}

// rho turns a tail into the utilisation that causes it.
func (p *Pressure) rho(image string, tail model.Millis) float64 {
	base, ok := p.base[image]
	if !ok || tail <= 0 {
		return defaultLoad
	}
	return min(maxRho, max(0, 1-base/float64(tail)))
}

// limit is the utilisation at which the tail reaches the target.
func (p *Pressure) limit(step *workflow.StepSpec) float64 {
	base, ok := p.base[step.Image]
	if !ok {
		base = float64(step.TailTargetMs) / unknownTargetRatio
	}
	return max(0.2, min(maxRho, 1-base/float64(step.TailTargetMs)))
}

// unknownTargetRatio is the ratio of target to base that is assumed before any figure.
const unknownTargetRatio = 4.0

// forecast is the load of a serving job as far ahead as a placement must hold.
func (p *Pressure) forecast(job workflow.JobID) float64 {
	l := p.loads[job]
	if l == nil {
		return defaultLoad
	}
	return min(maxLoad, l.now+max(0, l.now-l.before)*forecastSpan)
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
		image, tail := r.Step.Image, max(minTailMs, float64(r.TailMs))
		if base, ok := p.base[image]; !ok || tail < base {
			p.base[image] = tail
		}
		p.seen[r.Attempt.Task] = figure{r.TailMs, used, p.learn(now, r, uses)}
	}
}

// atWork reports whether the figure of a serving task counts: during its startup it serves
// nobody.
func atWork(r *Resident) bool {
	return r.Step.Serving() && r.Listed && r.TailMs > 0 && r.Percent >= 100
}

// learn corrects the load of the job and the coefficients, and returns the miss.
func (p *Pressure) learn(now model.Millis, r *Resident, uses []imageUse) float64 {
	image := r.Step.Image
	predicted, norm := 0.0, shareNorm
	for _, u := range uses {
		predicted += p.pairOf(image, u.image).coefficient * u.share
		norm += u.share * u.share
	}
	rho := p.rho(image, r.TailMs)
	l := p.loads[r.Attempt.Task.Job]
	if l == nil {
		start := min(maxLoad, max(0, rho-predicted))
		l = &load{now: start, before: start, since: now}
		p.loads[r.Attempt.Task.Job] = l
	}
	miss := rho - l.now - predicted
	gain := freeGain
	if predicted > pressedAbove {
		gain = pressedGain
	}
	if now-l.since >= slopeSpan {
		l.before, l.since = l.now, now
	}
	l.now = min(maxLoad, max(0, l.now+gain*miss))
	for _, u := range uses {
		pair := p.pairOf(image, u.image)
		change := pair.rate() * miss * u.share / norm
		pair.coefficient = min(maxPair, max(minPair, pair.coefficient+change))
		pair.corrections++
	}
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
