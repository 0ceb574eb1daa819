package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"lynxhill.example/lynxhill/internal/errkind"
)

// keyID stands for a Key. It is a cut cryptographic hash: two keys that a
// caller could make collide would share one claim.
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

// shortHash cuts the hash of a body to what the record keeps.
func shortHash(bodyHash string) string {
	sum := sha256.Sum256([]byte(bodyHash))
	return base64.RawURLEncoding.EncodeToString(sum[:9])
}

// keyLife says when a key may have been claimed first, and until when it is
// remembered.
type keyLife struct {
	// notBefore is the earliest time of a claim with the key; zero for a key
	// that carries no time.
	notBefore time.Time
	expires   time.Time // no claim from here on; zero for a key without time
	keep      time.Time // the record is kept until here
}

// lifeOf reads the time out of the key. It returns KeyExpired for a key past
// its retention, and BadRequest for one from the future: such a key's claim
// could be looked for in the wrong windows.
func (o *PagesOptions) lifeOf(key string, now time.Time) (keyLife, error) {
	if t, ok := ticketOfKey(key); ok {
		return o.timed(t.issuedAt(), t.expiresAt(), now)
	}
	if at, ok := timeOfUUID(key); ok {
		return o.timed(at, at.Add(o.Retention), now)
	}
	return keyLife{keep: now.Add(o.OpaqueRetention)}, nil
}

func (o *PagesOptions) timed(at, expires, now time.Time) (keyLife, error) {
	if !now.Before(expires) {
		return keyLife{}, errkind.New(errkind.KeyExpired, "the key's time is past its retention")
	}
	if at.After(now.Add(o.MaxSkew)) || expires.After(now.Add(o.MaxSkew+o.OpaqueRetention)) {
		return keyLife{}, errkind.New(errkind.BadRequest, "the key's time is in the future")
	}
	return keyLife{notBefore: at.Add(-o.MaxSkew), expires: expires, keep: expires}, nil
}

// canonicalUUID is the length of a UUID in its usual form.
const canonicalUUID = 36

// timeOfUUID returns the time in a UUID of version 7.
func timeOfUUID(key string) (time.Time, bool) {
	if len(key) != canonicalUUID {
		return time.Time{}, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	millis := int64(binary.BigEndian.Uint64(id[:8]) >> 16)
	return time.UnixMilli(millis), true
}
