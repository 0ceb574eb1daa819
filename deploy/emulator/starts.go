package emulator

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"time"
)

// Restart ends a server at once and starts it again, under its id and at its address, after
// a while. It holds nothing of before, and its counts begin anew. Its entry stays meanwhile,
// and then tells of the new start. A server that is leaving is left alone.
func (w *World) Restart(id string, away time.Duration) error {
	w.mu.Lock()
	old := w.servers[id]
	w.mu.Unlock()
	if old == nil || old.leaving() {
		return fmt.Errorf("server %s doesn't run, or is leaving", id)
	}
	w.end(id)
	time.Sleep(away)
	config := w.Config()
	pool := slices.IndexFunc(w.plan.Pools, func(p Pool) bool { return p.Service == old.Service })
	c := slices.IndexFunc(config.Services, func(s ServiceConfig) bool { return s.Name == old.Service })
	if c < 0 {
		return fmt.Errorf("service %s: not configured", old.Service)
	}
	l, err := w.listenAgain(old.Address)
	if err != nil {
		return err
	}
	s := &Server{ID: id, Service: old.Service, Zone: old.Zone, Version: old.Version, restarts: old.restarts + 1}
	return w.serve(s, l, w.plan.Pools[pool], config.Services[c], w.derive())
}

// listenAgain listens at an address that was in use a moment ago.
func (w *World) listenAgain(address string) (l net.Listener, err error) {
	const tries, interval = 50, 10 * time.Millisecond
	for range tries {
		if l, err = w.plan.Network.Listen(address); err == nil {
			return l, nil
		}
		time.Sleep(interval)
	}
	return nil, err
}

// Born returns the start that the server states, in Unix milliseconds; 0 = none.
func (s *Server) Born() int64 { return s.options.Born }

// leaving reports whether the server is draining.
func (t *Target) leaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

// ForeignEntry is what a foreign writer leaves under the name of a server.
type ForeignEntry int

// The entries of foreign writers. None of them names a server that may be used; LateCopy
// is an older entry of the server itself, from before its last start.
const (
	MissingField ForeignEntry = iota
	OtherType
	UnknownState
	UnknownService
	Unparsable
	BrokenStart
	LateCopy

	// ForeignEntries is the number of those that name no server.
	ForeignEntries = LateCopy
)

// OverwriteEntry replaces the entry of a server, which goes on, until it registers again.
func (w *World) OverwriteEntry(id string, how ForeignEntry) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[id]
	if s == nil {
		return fmt.Errorf("server %s doesn't run", id)
	}
	text, err := json.Marshal(s.entry)
	if err != nil {
		return err
	}
	fields := make(map[string]any)
	if err := json.Unmarshal(text, &fields); err != nil {
		return err
	}
	_, err = w.Store.Put("servers", id, foreignEntry(fields, s.entry.Born, how))
	return err
}

// foreignEntry changes the fields of an entry as a foreign writer does.
func foreignEntry(fields map[string]any, born int64, how ForeignEntry) any {
	switch how {
	case MissingField:
		delete(fields, "slots")
	case OtherType:
		fields["address"] = []string{"10.0.0.1"}
	case UnknownState:
		fields["state"] = "asleep"
	case UnknownService:
		fields["service"] = "unknown"
	case Unparsable:
		return "\x00\xff{\"service\":"
	case BrokenStart:
		fields["born"] = "yesterday"
	case LateCopy:
		fields["born"], fields["sequence"], fields["state"] = born-1, 1<<20, "draining"
	}
	return fields
}
