package relay

import (
	"crypto/sha256"
	"encoding/hex"
)

// maxPartID is the length, in bytes, up to which the ID of a prompt part is kept as it is.
const maxPartID = 64

// PartID returns the ID by which an instance knows a prompt part: a hash in place of a long
// one. Callers choose the IDs, and they are remembered for as long as a part may be used again.
func PartID(id string) string {
	if len(id) <= maxPartID {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:])
}
