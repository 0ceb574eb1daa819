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

// ticketPrefix starts every ticket, and so every key that is minted under one.
const ticketPrefix = "lxt1."

// maxTicket is the longest ticket that is parsed, in bytes.
const maxTicket = 512

// ticket is what the text of a ticket holds. Its text is
// lxt1.PAYLOAD.SIGNATURE, both base64url.
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

// parseTicket reads a ticket without checking its signature, which only its
// home can.
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

// MintKey makes an idempotency key under a ticket out of a name that the
// caller does not use twice. The key holds the ticket whole, so that the key
// alone says which instance may run it: if the same key could be sent with two
// tickets, two homes could each run it once.
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
