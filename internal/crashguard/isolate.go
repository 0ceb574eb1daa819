package crashguard

// Begin notes that an attempt of the request starts on the target and returns
// what ends it. Only suspected requests are noted.
func (g *Guard) Begin(fingerprint, targetID string) (end func()) {
	if g == nil || !g.Suspect(fingerprint) {
		return func() {}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running[targetID] == nil {
		g.running[targetID] = make(map[string]int)
	}
	g.running[targetID][fingerprint]++
	return func() { g.end(fingerprint, targetID) }
}

func (g *Guard) end(fingerprint, targetID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	attempts := g.running[targetID]
	attempts[fingerprint]--
	if attempts[fingerprint] == 0 {
		delete(attempts, fingerprint)
	}
	if len(attempts) == 0 {
		delete(g.running, targetID)
	}
}

// Occupied returns the targets that run another suspected request. When a
// target dies, every request on it becomes suspected; if two of them met again
// on the next target and it died as well, the innocent one would be refused
// with the guilty one. Keeping them apart clears the innocent.
func (g *Guard) Occupied(fingerprint string) []string {
	if g == nil || !g.Suspect(fingerprint) {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var occupied []string
	for target, attempts := range g.running {
		_, own := attempts[fingerprint]
		if len(attempts) > 1 || !own {
			occupied = append(occupied, target)
		}
	}
	return occupied
}
