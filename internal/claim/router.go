package claim

import (
	"context"
	"strings"

	"lynxhill.example/lynxhill/internal/errkind"
)

type router struct {
	pages   *Pages
	tickets *Tickets
}

// NewRouter returns a Claimer that holds keys minted under a ticket (see
// MintKey) in memory and all others in the platform's pages. A ticket that
// comes beside a plain key does not count: the same key might come again with
// another ticket, or with none.
func NewRouter(pages *Pages, tickets *Tickets) Claimer {
	return &router{pages: pages, tickets: tickets}
}

// Claim implements Claimer.
func (r *router) Claim(ctx context.Context, req Request) (Answer, error) {
	if !strings.HasPrefix(req.Key.Key, ticketPrefix) {
		return r.pages.Claim(ctx, req)
	}
	answer, room, err := r.tickets.claim(req)
	if err == nil && !room {
		return r.pages.Claim(ctx, req)
	}
	return answer, err
}

// Lookup implements Claimer.
func (r *router) Lookup(ctx context.Context, key Key) (Answer, bool, error) {
	if !strings.HasPrefix(key.Key, ticketPrefix) {
		return r.pages.Lookup(ctx, key)
	}
	answer, found, elsewhere, err := r.tickets.lookup(key)
	if errkind.Is(err, errkind.OutcomeUnknown) || (err == nil && elsewhere) {
		return r.lookupPages(ctx, key, err)
	}
	return answer, found, err
}

// lookupPages looks for a key that its home may have taken to the pages. Not
// found there means only that its home, if it was another incarnation, did
// not overflow.
func (r *router) lookupPages(ctx context.Context, key Key, homeErr error) (Answer, bool, error) {
	answer, found, err := r.pages.Lookup(ctx, key)
	if err != nil || found {
		return answer, found, err
	}
	return Answer{}, false, homeErr
}
