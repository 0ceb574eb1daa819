package edge

import (
	"context"
	"net"
	"slices"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/targetpath"
)

// newPaths returns the manager of the ways to targets.
func (i *Instance) newPaths() *targetpath.Manager {
	dial := i.o.Dial
	if dial == nil {
		dial = exchange.DialTCP
	}
	return targetpath.New(targetpath.Options{
		Zone: i.cfg.Instance.Zone, Dial: dial, Open: i.openTunnel, Relays: i.relays,
		Targets:    func() *fleet.View { return i.routes.Targets() },
		LastHeard:  func() time.Time { return i.pool.LastHeard() },
		IsStopping: func() bool { return i.ingress.Stopping() },
		OnLost:     i.targetsLost, OnRestored: i.targetsRestored,
		Rand: i.rand(), Logger: i.o.Logger, Metrics: i.metrics,
	})
}

// openTunnel connects to a target through another instance.
func (i *Instance) openTunnel(ctx context.Context, instance string, target fleet.Target) (targetpath.Conn, error) {
	conn, err := i.peers.OpenTunnel(ctx, instance, target.ID)
	if err != nil {
		return nil, err
	}
	conn.OnClosing(func() { i.closeUnusable(target.Address) })
	return conn, nil
}

// closeUnusable closes the idle connections to a target through other instances that must
// not be used any more; "" = to all targets.
func (i *Instance) closeUnusable(target string) {
	i.pool.CloseIdleWhere(func(address string, c net.Conn) bool {
		checked, ok := c.(exchange.Checked)
		return ok && (target == "" || address == target) && !checked.Usable()
	})
}

// relays returns the other instances that are alive and not leaving.
func (i *Instance) relays() (relays []targetpath.Relay) {
	for id, m := range i.board.Members.Snapshot() {
		if id != i.id() && m.State == board.MemberAlive {
			relays = append(relays, targetpath.Relay{Instance: id, Zone: m.Zone, TargetsLost: m.TargetsLost})
		}
	}
	slices.SortFunc(relays, func(a, b targetpath.Relay) int { return strings.Compare(a.Instance, b.Instance) })
	return relays
}

// targetsLost closes the idle direct connections, on which a request would wait in vain, and
// tells the other instances.
func (i *Instance) targetsLost() {
	i.pool.CloseIdleWhere(func(_ string, c net.Conn) bool {
		_, checked := c.(exchange.Checked)
		return !checked
	})
	i.members.RequestExchanges()
}

// targetsRestored closes the idle connections through other instances to a target that is
// reached directly again; "" = to all targets.
func (i *Instance) targetsRestored(target string) {
	i.closeUnusable(target)
	if target == "" {
		i.members.RequestExchanges()
	}
}
