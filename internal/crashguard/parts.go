package crashguard

// strongSuspicion is the number of crashes in sequence from which on requests with a part
// are kept apart from other suspected ones.
const strongSuspicion = 2

// PartKeys returns the keys of a prompt part in requests of an organisation for a
// service.
func PartKeys(service, organisation, part string) []string {
	return []string{
		partPrefix + Fingerprint(service+"\x00"+organisation, []byte(part)),
		anyPartPrefix + Fingerprint(service, []byte(part)),
	}
}

// MaySuspectParts reports whether any part may be suspected. While none is, requests need
// not work out the keys of theirs.
func (g *Guard) MaySuspectParts() bool { return g != nil && g.opts.Board.Refused.Len() > 0 }

// RecordPartCrash counts a target that crashed before it brought the first event of an
// answer to a request of the organisation whose prompt has the part with the keys.
func (g *Guard) RecordPartCrash(keys []string, organisation string, c Crash) {
	if g == nil {
		return
	}
	c.Variant = "organisation " + organisation
	for _, key := range keys {
		g.record(key, c.row(g.now()))
	}
}

// RecordFirstEvent records that a target brought the first event of an answer to a
// request whose prompt has the parts with the keys: none of them crashes targets now.
func (g *Guard) RecordFirstEvent(keys []string) {
	if !g.MaySuspectParts() {
		return
	}
	for _, key := range keys {
		if g.Suspected(key) {
			g.clear(key)
		}
	}
}

// StronglySuspected reports whether several targets crashed in sequence under the key.
func (g *Guard) StronglySuspected(key string) bool { return len(g.crashes(key)) >= strongSuspicion }
