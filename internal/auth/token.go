package auth

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
)

// tokenBytes is the length of a token in random bytes. With this much entropy a fast
// hash is enough: trying 2^256 tokens is not feasible.
const tokenBytes = 32

// NewToken returns a new random token and the hash of it for the settings. The token
// itself is not stored anywhere.
func NewToken() (token, hash string) {
	raw := make([]byte, tokenBytes)
	_, _ = rand.Read(raw) // never fails, see crypto/rand
	token = base64.RawURLEncoding.EncodeToString(raw)
	return token, Hash(token)
}

// Hash returns the form in which a token is stored: SHA-256 in hexadecimal.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

type digest [sha256.Size]byte

func parseHash(hash string) (digest, error) {
	var d digest
	raw, err := hex.DecodeString(hash)
	if err != nil || len(raw) != sha256.Size {
		return d, fmt.Errorf("must be a SHA-256 hash of %d hexadecimal digits, as lynxhilld token prints", 2*sha256.Size)
	}
	copy(d[:], raw)
	return d, nil
}
