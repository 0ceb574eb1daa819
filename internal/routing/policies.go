package routing

// sampleTries bounds the draws for a usable target before the whole list is
// gone through.
const sampleTries = 12

// twoChoices takes the better of two usable targets of this place and one of
// the rest of the region; the other regions are used only when this one has no
// room. The one from outside keeps a place whose targets are slower or fewer
// from being filled up to its limits first.
func (c *Chooser) twoChoices(p *Pick, s *Service) (candidate, bool) {
	if p.Query.Prefix != "" {
		if preferred, ok := c.preferred(p, s); ok {
			return preferred, true
		}
	}
	near, region := s.byPlace[c.Place], s.byRegion[c.Region]
	best, found := c.betterOf(p, near, candidate{}, false)
	best, found = c.betterOf(p, near, best, found)
	best, found = c.betterOf(p, region, best, found)
	if len(near) == 0 {
		best, found = c.betterOf(p, region, best, found)
	}
	if found {
		return best, true
	}
	if best, found = c.fromAll(p, region); found {
		return best, true
	}
	best, found = c.betterOf(p, s.All, best, found)
	best, found = c.betterOf(p, s.All, best, found)
	if found {
		return best, true
	}
	return c.fromAll(p, s.All)
}

// betterOf draws one more target and keeps the one with the lower score.
func (c *Chooser) betterOf(p *Pick, from []*Entry, best candidate, found bool) (candidate, bool) {
	drawn, ok := c.draw(p, from)
	if !ok {
		return best, found
	}
	drawn.score = c.score(p, drawn)
	if !found || drawn.score < best.score {
		return drawn, true
	}
	return best, true
}

func (c *Chooser) draw(p *Pick, from []*Entry) (candidate, bool) {
	if len(from) == 0 {
		return candidate{}, false
	}
	for range sampleTries {
		if cand, ok := c.usable(p, from[p.Rand.IntN(len(from))]); ok {
			return cand, true
		}
	}
	return candidate{}, false
}

// fromAll goes through the list from a random start and takes the first usable
// target: few have room, so there is little to compare.
func (c *Chooser) fromAll(p *Pick, from []*Entry) (candidate, bool) {
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

func (c *Chooser) sample(p *Pick, from []*Entry) (candidate, bool) {
	if cand, ok := c.draw(p, from); ok {
		return cand, true
	}
	return c.fromAll(p, from)
}

func (c *Chooser) roundRobin(p *Pick, from []*Entry) (candidate, bool) {
	for i := range from {
		at := (p.Turn + uint64(i)) % uint64(len(from))
		if cand, ok := c.usable(p, from[at]); ok {
			return cand, true
		}
	}
	return candidate{}, false
}

func (c *Chooser) leastInFlight(p *Pick, from []*Entry) (candidate, bool) {
	if len(from) == 0 {
		return candidate{}, false
	}
	var best candidate
	found := false
	start := p.Rand.IntN(len(from)) // ties go to a random one
	for i := range from {
		cand, ok := c.usable(p, from[(start+i)%len(from)])
		if ok && (!found || cand.local.InFlight < best.local.InFlight) {
			best, found = cand, true
		}
	}
	return best, found
}
