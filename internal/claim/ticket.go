package claim

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// ticketPrefix is the prefix of every ticket and thus of every key minted under
// a ticket.
const ticketPrefix = "lxt1."

// maxTicket is the maximum length of a ticket, in bytes. Longer ones are not
// parsed.
const maxTicket = 512

// ticket is the payload of a ticket. The text form of a ticket is
// lxt1.PAYLOAD.SIGNATURE, where both parts are base64url.
type ticket struct {
	Instance    string `json:"i"`
	Incarnation uint64 `json:"c"`
	Issued      int64  `json:"a"` // ms since the epoch
	Expires     int64  `json:"e"` // ms since the epoch
}

func (t ticket) issuedAt() time.Time  { return time.UnixMilli(t.Issued) }
func (t ticket) expiresAt() time.Time { return time.UnixMilli(t.Expires) }

const signatureBytes = 12

func sign(secret []byte, payload string) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(payload))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:signatureBytes])
}

func (t ticket) text(secret []byte) string {
	payload := base64.RawURLEncoding.EncodeToString(encode(t))
	return ticketPrefix + payload + "." + sign(secret, payload)
}

// parseTicket parses a ticket without verifying its signature. Only the issuing
// instance has the secret to do that.
func parseTicket(text string) (t ticket, payload, signature string, err error) {
	rest, ok := strings.CutPrefix(text, ticketPrefix)
	if !ok || len(text) > maxTicket {
		return ticket{}, "", "", errInvalid
	}
	payload, signature, ok = strings.Cut(rest, ".")
	if !ok || strings.Contains(signature, ".") {
		return ticket{}, "", "", errInvalid
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(payload)
	if err != nil {
		return ticket{}, "", "", fmt.Errorf("%w: %w", errInvalid, err)
	}
	if err := json.Unmarshal(raw, &t); err != nil {
		return ticket{}, "", "", fmt.Errorf("%w: %w", errInvalid, err)
	}
	if t.Instance == "" || t.Issued <= 0 || t.Expires <= t.Issued {
		return ticket{}, "", "", errInvalid
	}
	return t, payload, signature, nil
}

// MintKey builds an idempotency key from a ticket and a name that the caller
// uses only once. The key contains the complete ticket, so that the key alone
// determines which instance may run it. If the same key could be sent with two
// tickets, both issuers could each run it once.
func MintKey(ticket, name string) string { return ticket + "/" + name }

// TicketOf returns the ticket that the key was minted under.
func TicketOf(key string) (ticket string, ok bool) {
	if !strings.HasPrefix(key, ticketPrefix) {
		return "", false
	}
	ticket, name, ok := strings.Cut(key, "/")
	return ticket, ok && name != ""
}

// ticketOfKey returns the ticket that the key was minted under, parsed.
func ticketOfKey(key string) (ticket, bool) {
	text, ok := TicketOf(key)
	if !ok {
		return ticket{}, false
	}
	t, _, _, err := parseTicket(text)
	return t, err == nil
}
