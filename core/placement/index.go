package placement

import (
	"math"
	"math/bits"

	"samphirepaddle.example/core/model"
)

// pool indexes the targets of one pool of workers. Two segment trees, one of free resources and one
// of capacities, hold the maximum of each resource for each range of targets. A task that exceeds
// the maxima of a node fits on no target of its range.
type pool struct {
	id            model.PoolID
	targets       []*target // by index; nil where a target was removed
	unusedIndexes []int     // indexes of removed targets, reused by add
	free          maxTree
	capacity      maxTree
}

// noCapacity is less than any task needs, including a task that needs zero of each resource.
var noCapacity = model.Resources{
	Slots:        math.MinInt32,
	Connections:  math.MinInt32,
	CPUMillis:    math.MinInt64,
	MemoryMiB:    math.MinInt64,
	Accelerators: math.MinInt32,
}

func (p *pool) add(t *target) {
	t.pool = p
	if n := len(p.unusedIndexes); n > 0 {
		t.index = p.unusedIndexes[n-1]
		p.unusedIndexes = p.unusedIndexes[:n-1]
		p.targets[t.index] = t
		return
	}
	t.index = len(p.targets)
	p.targets = append(p.targets, t)
	p.free.grow(len(p.targets))
	p.capacity.grow(len(p.targets))
}

func (p *pool) remove(t *target) {
	p.targets[t.index] = nil
	p.unusedIndexes = append(p.unusedIndexes, t.index)
	p.free.set(t.index, noCapacity)
	p.capacity.set(t.index, noCapacity)
}

// updateResources stores the target's free resources and capacity in the trees. A blocked target
// is stored with no free resources.
func (p *pool) updateResources(t *target) {
	free := t.free
	if t.info.BlockedReason != "" {
		free = noCapacity
	}
	p.free.set(t.index, free)
	p.capacity.set(t.index, t.info.Capacity.Sub(t.info.KeptForQuick))
}

// maxTree is a segment tree of componentwise maxima, stored as a complete binary tree in an
// array: node i has the children 2i and 2i+1, and the leaves start at size.
type maxTree struct {
	size  int
	nodes []model.Resources
}

func (m *maxTree) grow(n int) {
	if n <= m.size {
		return
	}
	size := 1 << bits.Len(uint(n-1))
	nodes := make([]model.Resources, 2*size)
	for i := range nodes {
		nodes[i] = noCapacity
	}
	copy(nodes[size:], m.leaves())
	m.size, m.nodes = size, nodes
	for i := size - 1; i >= 1; i-- {
		m.nodes[i] = m.nodes[2*i].Max(m.nodes[2*i+1])
	}
}

func (m *maxTree) leaves() []model.Resources {
	if m.size == 0 {
		return nil
	}
	return m.nodes[m.size:]
}

func (m *maxTree) set(i int, r model.Resources) {
	i += m.size
	m.nodes[i] = r
	for i >>= 1; i >= 1; i >>= 1 {
		next := m.nodes[2*i].Max(m.nodes[2*i+1])
		if next == m.nodes[i] {
			return
		}
		m.nodes[i] = next
	}
}

// walk calls visit with the index of each leaf in [from, to) that has the resources want, in
// ascending order, until visit returns false. It reports whether all such leaves were visited.
func (m *maxTree) walk(want model.Resources, from, to int, visit func(int) bool) bool {
	if m.size == 0 || from >= to {
		return true
	}
	return m.descend(1, 0, m.size, want, from, to, visit)
}

func (m *maxTree) descend(node, low, high int, want model.Resources, from, to int, visit func(int) bool) bool {
	if high <= from || low >= to || !want.Fits(m.nodes[node]) {
		return true
	}
	if high-low == 1 {
		return visit(low)
	}
	middle := (low + high) / 2
	if !m.descend(2*node, low, middle, want, from, to, visit) {
		return false
	}
	return m.descend(2*node+1, middle, high, want, from, to, visit)
}

// anyFits reports whether any leaf has the resources want.
func (m *maxTree) anyFits(want model.Resources) bool {
	return !m.walk(want, 0, m.size, func(int) bool { return false })
}
