package stagework

// Overload says which parts of the overload control are in force.
type Overload struct{ Reservations, Shares bool }

// SetOverload changes which parts of the overload control are in force for
// future decisions.
func (d *Dispatcher) SetOverload(o Overload) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.overload = o
	for _, p := range d.planners {
		p.overload = o
	}
}
