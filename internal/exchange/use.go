package exchange

import (
	"hash/maphash"
	"slices"
)

// Use describes how an exchange used its connection, for logs.
type Use struct {
	Connection uint64 // number of the connection, counted by its pool from 1; 0 = there was none
	Before     int    // number of requests that were sent on the connection before
	Repeated   bool   // one of them had the ID of this request
	Relayed    bool   // the connection is Checked: not a socket of this process to the target
	Skipped    int    // responses to other attempts that were skipped before the response
	Identified bool   // the response states the ID of the request
}

// maxRecorded is the number of IDs that a connection remembers.
const maxRecorded = 256

var idSeed = maphash.MakeSeed()

// sentIDs are the IDs of the requests that were sent on a connection, as hashes: IDs come
// from callers and may be long. Two IDs with one hash only make a request look repeated.
type sentIDs []uint64

func (s sentIDs) contains(id string) bool {
	return id != "" && slices.Contains(s, maphash.String(idSeed, id))
}

func (s *sentIDs) add(id string) {
	if id != "" && len(*s) < maxRecorded {
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
