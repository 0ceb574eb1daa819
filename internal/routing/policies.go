package routing

// maxDraws is the number of random draws made to find a usable target before
// the caller scans the whole list.
const maxDraws = 12

// twoChoices returns the best of two random usable targets of this zone and one
// of the whole region. Other regions are used only when this one has no usable
// target. The draw from the region prevents a zone whose targets are slower or
// fewer from being filled to its limits before others are used.
func (c *Chooser) twoChoices(p *ChooseParams, s *Service) (candidate, bool) {
	if p.Query.Prefix != "" {
		if preferred, ok := c.prefixTarget(p, s); ok {
			return preferred, true
		}
	}
	sameZone, region := s.byZone[c.Zone], s.byRegion[c.Region]
	best, found := c.drawBetter(p, sameZone, candidate{}, false)
	best, found = c.drawBetter(p, sameZone, best, found)
	best, found = c.drawBetter(p, region, best, found)
	if len(sameZone) == 0 {
		best, found = c.drawBetter(p, region, best, found)
	}
	if found {
		return best, true
	}
	if best, found = c.firstUsable(p, region); found {
		return best, true
	}
	best, found = c.drawBetter(p, s.All, best, found)
	best, found = c.drawBetter(p, s.All, best, found)
	if found {
		return best, true
	}
	return c.firstUsable(p, s.All)
}

// drawBetter draws a random usable target and returns it or best, whichever has
// the lower score. found reports whether best is set.
func (c *Chooser) drawBetter(p *ChooseParams, from []*Entry, best candidate, found bool) (candidate, bool) {
	drawn, ok := c.drawUsable(p, from)
	if !ok {
		return best, found
	}
	drawn.score = c.score(p, drawn)
	if !found || drawn.score < best.score {
		return drawn, true
	}
	return best, true
}

// drawUsable returns a random usable target. It gives up after maxDraws draws.
func (c *Chooser) drawUsable(p *ChooseParams, from []*Entry) (candidate, bool) {
	if len(from) == 0 {
		return candidate{}, false
	}
	for range maxDraws {
		if cand, ok := c.usable(p, from[p.Rand.IntN(len(from))]); ok {
			return cand, true
		}
	}
	return candidate{}, false
}

// firstUsable scans the list from a random start and returns the first usable
// target. It runs after random draws have failed, when few targets have capacity
// and a comparison would gain little.
func (c *Chooser) firstUsable(p *ChooseParams, from []*Entry) (candidate, bool) {
	if len(from) == 0 {
		return candidate{}, false
	}
	start := p.Rand.IntN(len(from))
	for i := range from {
		if cand, ok := c.usable(p, from[(start+i)%len(from)]); ok {
			return cand, true
		}
	}
	return candidate{}, false
}

// drawOrScan implements PolicyRandom.
func (c *Chooser) drawOrScan(p *ChooseParams, from []*Entry) (candidate, bool) {
	if cand, ok := c.drawUsable(p, from); ok {
		return cand, true
	}
	return c.firstUsable(p, from)
}

func (c *Chooser) roundRobin(p *ChooseParams, from []*Entry) (candidate, bool) {
	for i := range from {
		at := (p.Turn + uint64(i)) % uint64(len(from))
		if cand, ok := c.usable(p, from[at]); ok {
			return cand, true
		}
	}
	return candidate{}, false
}

func (c *Chooser) leastInFlight(p *ChooseParams, from []*Entry) (candidate, bool) {
	if len(from) == 0 {
		return candidate{}, false
	}
	var best candidate
	found := false
	start := p.Rand.IntN(len(from)) // breaks ties at random
	for i := range from {
		cand, ok := c.usable(p, from[(start+i)%len(from)])
		if ok && (!found || cand.local.InFlight < best.local.InFlight) {
			best, found = cand, true
		}
	}
	return best, found
}
