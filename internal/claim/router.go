package claim

import (
	"context"
	"strings"

	"lynxhill.example/lynxhill/internal/errkind"
)

type router struct {
	claimer *StoreClaimer
	tickets *Tickets
}

// NewRouter returns a Claimer that claims keys minted under a ticket (see MintKey)
// in memory and all other keys in the platform's store. A ticket sent in addition
// to a plain key is ignored, since the same key might be sent again with another
// ticket or without one.
func NewRouter(claimer *StoreClaimer, tickets *Tickets) Claimer {
	return &router{claimer: claimer, tickets: tickets}
}

// Claim implements Claimer.
func (r *router) Claim(ctx context.Context, req Request) (Answer, error) {
	if !strings.HasPrefix(req.Key.Key, ticketPrefix) {
		return r.claimer.Claim(ctx, req)
	}
	answer, room, err := r.tickets.claim(req)
	if err == nil && !room {
		return r.claimer.Claim(ctx, req)
	}
	return answer, err
}

// Lookup implements Claimer.
func (r *router) Lookup(ctx context.Context, key Key) (Answer, bool, error) {
	if !strings.HasPrefix(key.Key, ticketPrefix) {
		return r.claimer.Lookup(ctx, key)
	}
	answer, found, elsewhere, err := r.tickets.lookup(key)
	if errkind.Is(err, errkind.OutcomeUnknown) || (err == nil && elsewhere) {
		return r.lookupStore(ctx, key, err)
	}
	return answer, found, err
}

// lookupStore looks up in the store a key whose issuer may have claimed it there
// because its memory was full. If the key is not found, lookupPages returns
// issuerErr: if the issuer is another incarnation, the missing record shows only
// that the key was not claimed in the store, not that it was not claimed in memory.
func (r *router) lookupStore(ctx context.Context, key Key, issuerErr error) (Answer, bool, error) {
	answer, found, err := r.claimer.Lookup(ctx, key)
	if err != nil || found {
		return answer, found, err
	}
	return Answer{}, false, issuerErr
}
