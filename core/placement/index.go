package placement

import (
	"math"
	"math/bits"

	"samphirepaddle.example/core/model"
)

// pool indexes the targets of one pool of workers. Two trees hold, for every range of
// targets, the greatest amount of each resource: one of what is free, one of the capacity.
// A task that does not fit a node's amounts fits no target below it.
type pool struct {
	id       model.PoolID
	targets  []*target // nil at a removed target's place
	vacant   []int
	free     maxTree
	capacity maxTree
}

// nothing fits no task, since every task takes at least zero of each resource.
var nothing = model.Resources{
	Slots:        math.MinInt32,
	Connections:  math.MinInt32,
	CPUMillis:    math.MinInt64,
	MemoryMiB:    math.MinInt64,
	Accelerators: math.MinInt32,
}

func (p *pool) add(t *target) {
	t.pool = p
	if n := len(p.vacant); n > 0 {
		t.slot = p.vacant[n-1]
		p.vacant = p.vacant[:n-1]
		p.targets[t.slot] = t
		return
	}
	t.slot = len(p.targets)
	p.targets = append(p.targets, t)
	p.free.grow(len(p.targets))
	p.capacity.grow(len(p.targets))
}

func (p *pool) remove(t *target) {
	p.targets[t.slot] = nil
	p.vacant = append(p.vacant, t.slot)
	p.free.set(t.slot, nothing)
	p.capacity.set(t.slot, nothing)
}

// refresh brings the index up to date with the target. A blocked target has nothing free.
func (p *pool) refresh(t *target) {
	free := t.free
	if t.info.BlockedReason != "" {
		free = nothing
	}
	p.free.set(t.slot, free)
	p.capacity.set(t.slot, t.info.Capacity.Sub(t.info.KeptForQuick))
}

// maxTree is a complete binary tree of componentwise maxima; the leaves start at size.
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
		nodes[i] = nothing
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

// walk calls visit for each leaf in [from, to) that want fits, in order, until visit
// returns false. It reports whether the walk ran to its end.
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

// anyFits reports whether some leaf holds want.
func (m *maxTree) anyFits(want model.Resources) bool {
	return !m.walk(want, 0, m.size, func(int) bool { return false })
}
