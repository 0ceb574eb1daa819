package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"lynxhill.example/lynxhill/internal/errkind"
)

// keyID is a fixed-size identifier of a Key. It is a truncated cryptographic
// hash, because keys that a caller could make collide would share one claim.
type keyID [16]byte

func idOf(key Key) keyID {
	h := sha256.New()
	for _, part := range []string{key.Organisation, key.Key, key.Stage} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	var id keyID
	copy(id[:], h.Sum(nil))
	return id
}

func (id keyID) String() string { return base64.RawURLEncoding.EncodeToString(id[:]) }

// MarshalText implements encoding.TextMarshaler.
func (id keyID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *keyID) UnmarshalText(text []byte) error {
	raw, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil {
		return err
	}
	if len(raw) != len(id) {
		return errInvalid
	}
	copy(id[:], raw)
	return nil
}

func (id keyID) shard(shards int) int {
	return int(binary.BigEndian.Uint64(id[:8]) % uint64(shards))
}

// shortHash shortens the hash of a body to the form that entries store.
func shortHash(bodyHash string) string {
	sum := sha256.Sum256([]byte(bodyHash))
	return base64.RawURLEncoding.EncodeToString(sum[:9])
}

// keyLifetime is the period in which a key may be claimed and the time until which
// its record is retained.
type keyLifetime struct {
	// notBefore is the earliest time at which the key can have been claimed; zero
	// for a key without a timestamp.
	notBefore   time.Time
	expires     time.Time // claims are refused from this time on; zero for a key without a timestamp
	retainUntil time.Time // the record is retained until this time
}

// lifetimeOf derives the lifetime from the timestamp in the key, if it has one. It
// returns KeyExpired for a key past its retention, and BadRequest for one whose
// timestamp is in the future, since a later lookup could search the wrong
// windows for the claim of such a key.
func (o *StoreOptions) lifetimeOf(key string, now time.Time) (keyLifetime, error) {
	if t, ok := ticketOfKey(key); ok {
		return o.lifetimeBetween(t.issuedAt(), t.expiresAt(), now)
	}
	if at, ok := timeOfUUID(key); ok {
		return o.lifetimeBetween(at, at.Add(o.Retention), now)
	}
	return keyLifetime{retainUntil: now.Add(o.OpaqueRetention)}, nil
}

func (o *StoreOptions) lifetimeBetween(at, expires, now time.Time) (keyLifetime, error) {
	if !now.Before(expires) {
		return keyLifetime{}, errkind.New(errkind.KeyExpired, "the key's time is past its retention")
	}
	if at.After(now.Add(o.MaxSkew)) || expires.After(now.Add(o.MaxSkew+o.OpaqueRetention)) {
		return keyLifetime{}, errkind.New(errkind.BadRequest, "the key's time is in the future")
	}
	return keyLifetime{notBefore: at.Add(-o.MaxSkew), expires: expires, retainUntil: expires}, nil
}

// uuidTextLength is the length of a UUID in its canonical text form, in bytes.
const uuidTextLength = 36

// timeOfUUID returns the timestamp of a version 7 UUID.
func timeOfUUID(key string) (time.Time, bool) {
	if len(key) != uuidTextLength {
		return time.Time{}, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	millis := int64(binary.BigEndian.Uint64(id[:8]) >> 16)
	return time.UnixMilli(millis), true
}
