package exchange

import (
	"errors"
	"hash/maphash"
	"slices"
)

// ErrUnidentified is the reason of an exchange that failed because a response on a reused
// connection states no ID: it may belong to an earlier request, or to none.
var ErrUnidentified = errors.New("the answer doesn't say which attempt it belongs to")

// lane is a set of connections that are reused for each other's requests. HTTP/1.1 assigns
// responses to requests by their order alone, and a target may respond to a request a
// second time, late, when the next request arrives on the connection. So a request is sent
// on a connection only if that response would be recognised:
//
//   - A request with an ID goes on a connection that has not carried that ID. Responses to
//     other requests state other IDs.
//   - A request without an ID goes on a new connection, which is closed afterwards.
//   - If the response is not used, any response will do. Such requests have a lane of their
//     own.
type lane struct {
	address string
	unused  bool // Request.ResponseUnused
}

func (p *Pool) laneOf(r Request) lane { return lane{r.Address, r.ResponseUnused} }

// singleUse reports whether the request needs a connection of its own.
func (p *Pool) singleUse(r Request) bool {
	return p.identifies && r.ID == "" && !r.ResponseUnused
}

// mayReuse reports whether the request may be sent on an idle connection.
func (p *Pool) mayReuse(r Request) bool { return !r.NewConnection && !p.singleUse(r) }

// recognises reports whether a second copy of the response would be recognised on the
// connection, if it arrived when the next request is sent.
func (x *exchange) recognises() bool {
	if !x.pool.identifies || x.request.ResponseUnused {
		return true
	}
	return x.use.Identified && x.conn.requests < maxIdentified
}

// maxIdentified is the number of requests with an ID that are sent on a connection. It
// bounds the IDs that a connection remembers.
const maxIdentified = 256

var idSeed = maphash.MakeSeed()

// sentIDs are the IDs of the requests that were sent on a connection, as hashes: IDs come
// from callers and may be long. Two IDs with one hash only make a request look repeated.
type sentIDs []uint64

func (s sentIDs) contains(id string) bool {
	return id != "" && slices.Contains(s, maphash.String(idSeed, id))
}

func (s *sentIDs) add(id string) {
	if id != "" {
		*s = append(*s, maphash.String(idSeed, id))
	}
}

// use returns the state of the connection before the request is sent on it, and records
// the request.
func (c *conn) use(r Request) Use {
	u := Use{Connection: c.number, Before: c.requests, Repeated: c.ids.contains(r.ID), Relayed: c.heard == nil}
	c.requests++
	c.ids.add(r.ID)
	return u
}
