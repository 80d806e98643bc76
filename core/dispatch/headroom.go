package dispatch

// headroom is the utilization that interference may still add to a serving task.
type headroom struct {
	image int     // index of the task's image
	free  float64 // expected distance of the utilization from the limit, less placementMargin
}

// imageIndex numbers the images of serving tasks in the order in which a pass meets them.
type imageIndex struct {
	indexes map[string]int
	names   []string
}

func (x *imageIndex) of(image string) int {
	i, known := x.indexes[image]
	if known {
		return i
	}
	if x.indexes == nil {
		x.indexes = map[string]int{}
	}
	x.indexes[image] = len(x.names)
	x.names = append(x.names, image)
	return len(x.names) - 1
}

// coefficientRow holds the coefficients of a best-effort image, by the index of the serving image. They do not
// change within a pass.
type coefficientRow struct {
	pass   *pass
	image  string
	values []float64
}

func (r *coefficientRow) of(serving int) float64 {
	for len(r.values) <= serving {
		r.values = append(r.values, r.pass.interference.coefficient(r.pass.servingImages.names[len(r.values)], r.image))
	}
	return r.values[serving]
}

func (p *pass) coefficientsOf(bestEffort string) *coefficientRow {
	if row, ok := p.coefficients[bestEffort]; ok {
		return row
	}
	if p.coefficients == nil {
		p.coefficients = map[string]*coefficientRow{}
	}
	row := &coefficientRow{pass: p, image: bestEffort}
	p.coefficients[bestEffort] = row
	return row
}

// headroomsFor returns the headrooms of the serving tasks on the worker. They are computed once a best-effort
// task fits there, because on most workers of a full fleet none does. A worker of last resort has none.
func (c *candidate) headroomsFor(n *needs) []headroom {
	if !c.headroomsKnown && c.index != notRanked {
		pass := n.coefficients.pass
		c.headrooms, c.headroomsKnown = pass.interference.headrooms(c.worker, &pass.servingImages), true
	}
	return c.headrooms
}

// headrooms returns the headroom of each serving task of the worker with all best-effort tasks at
// full pace. It adds images that are new to the index.
func (m *InterferenceModel) headrooms(w *Worker, images *imageIndex) []headroom {
	var list []headroom
	for i := range w.Allocations {
		serving := &w.Allocations[i]
		if !serving.Step.Serving() {
			continue
		}
		expected := m.loadOf(serving.Attempt.Task.Job)
		for j := range w.Allocations {
			if r := &w.Allocations[j]; r.bestEffort() {
				expected += m.coefficient(serving.Step.Image, r.Step.Image) * expectedShare(w, r, 100)
			}
		}
		list = append(list, headroom{images.of(serving.Step.Image), m.utilizationLimit(serving.Step) - placementMargin - expected})
	}
	return list
}
