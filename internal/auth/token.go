package auth

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
)

// tokenBytes is the entropy of a token. With this much, a fast hash is enough
// to keep it: nobody can try 2^256 tokens.
const tokenBytes = 32

// NewToken returns a new random token and the hash that the settings hold.
// The token itself is not kept anywhere.
func NewToken() (token, hash string) {
	raw := make([]byte, tokenBytes)
	_, _ = rand.Read(raw) // never fails, see crypto/rand
	token = base64.RawURLEncoding.EncodeToString(raw)
	return token, Hash(token)
}

// Hash returns the form in which a token is kept: SHA-256 in hexadecimal.
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
