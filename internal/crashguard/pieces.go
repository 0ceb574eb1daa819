package crashguard

import "time"

// piecePrefix begins the keys of requests whose pieces run at stage targets.
const piecePrefix = "s."

const (
	// pieceLimit is the number of crashes in sequence at which requests with a piece
	// key are refused.
	pieceLimit = 3
	// trialTolerance is how far the times of a crash may differ between two instances:
	// rows are sent with ages, which do not include the time of the transfer.
	trialTolerance = 250 * time.Millisecond
)

// PieceKey returns the key of the requests of an organisation whose pieces have the piece
// key. Callers choose piece keys, so an organisation can get only its own requests refused.
func PieceKey(organisation, pieceKey string) string {
	return piecePrefix + Fingerprint(organisation, []byte(pieceKey))
}

// MaySuspect reports whether any key may be suspected. While none is, keys need not be
// computed.
func (g *Guard) MaySuspect() bool { return g.MaySuspectParts() }

// TrialDue reports whether a request of a refused key may be a trial that the instance
// has admitted: the time of a trial has come, and the instance is the one that tries the
// key. The instance itself makes sure that it runs one at a time.
func (g *Guard) TrialDue(key, instance string) bool {
	crashes := g.crashes(key)
	if len(crashes) == 0 {
		return false
	}
	due := crashes[len(crashes)-1].At.Add(g.trialAfter(key, len(crashes)))
	return !g.now().Add(trialTolerance).Before(due) && g.trialOwner(key) == instance
}
