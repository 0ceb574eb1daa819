package stagework

const (
	// pieceCost is a high estimate of the memory, in bytes, of a piece that waits, and
	// piecesShare the share of the process's memory for pieces.
	pieceCost   = 256
	piecesShare = 0.1
	// partCost is a high estimate of the memory, in bytes, of a prompt part that is
	// remembered, and partsShare the share of the process's memory for parts.
	partCost   = 192
	partsShare = 0.1
	// minPartsPerEngine is the minimum number of parts that may be remembered as cached by
	// an engine.
	minPartsPerEngine = 64
)

// Limits bound what a cell's planner keeps of what callers state. 0 = no limit.
type Limits struct {
	// Pieces is the number of pieces that the jobs may have together.
	Pieces int
	// Parts is the number of prompt parts whose use is remembered, for each service of
	// engines, and the number of those that are remembered as cached by all its engines.
	Parts int
}

// LimitsOf returns the limits of a process with the given memory, in MiB; 0 = no limit.
func LimitsOf(memoryMB int) Limits {
	memory := float64(memoryMB) * (1 << 20)
	return Limits{Pieces: int(piecesShare * memory / pieceCost), Parts: int(partsShare * memory / partCost)}
}

// SetLimits changes the limits of each cell. Jobs that were accepted stay.
func (d *Dispatcher) SetLimits(l Limits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits = l
	for _, p := range d.planners {
		p.setLimits(l)
	}
}

func (p *Planner) setLimits(l Limits) {
	p.limits = l
	for _, o := range p.pools {
		o.setMaxParts(l.Parts)
	}
}

// setMaxParts changes the number of prompt parts that are remembered; 0 = no limit.
func (o *pool) setMaxParts(n int) {
	o.maxParts = n
	perEngine := 0
	if n > 0 {
		perEngine = max(n/max(len(o.engines), 1), minPartsPerEngine)
	}
	for _, e := range o.engines {
		e.maxParts = perEngine
	}
}
