package bench

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/standin/netfault"
)

// relayOwner is the owner in the Network of an instance's relays.
func relayOwner(instance string) string { return "relay/" + instance }

// relayDial bounds the connection to the end of a relay.
const relayDial = 2 * time.Second

// relay passes the connections of one way to or from an instance on. Its
// accepting side belongs to the Network, so that freezing the owner cuts the
// way: bytes are held and come through when it is thawed.
type relay struct {
	listener net.Listener
	to       string
}

// relay puts relays before the caller and peer listeners of an instance and
// before the platform as this instance sees it.
func (s *Standins) relay(cfg *config.Config) error {
	for _, way := range []struct {
		to   string
		told *string
	}{
		{cfg.Listen.Caller, &cfg.Listen.AdvertiseCaller},
		{cfg.Listen.Peer, &cfg.Listen.AdvertisePeer},
		{s.Layout.Platform, &cfg.Platform.Endpoints[0]},
	} {
		r, err := startRelay(s.cluster.Network, cfg.Instance.ID, way.to)
		if err != nil {
			return err
		}
		s.relays = append(s.relays, r)
		*way.told = r.listener.Addr().String()
	}
	cfg.Platform.Endpoints[0] = "http://" + cfg.Platform.Endpoints[0]
	return nil
}

func startRelay(network *netfault.Network, instance, to string) (*relay, error) {
	listener, err := network.Listen(relayOwner(instance), "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, to: to}
	go r.run()
	return r, nil
}

func (r *relay) close() { _ = r.listener.Close() }

func (r *relay) run() {
	for {
		conn, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go r.carry(conn)
		}
	}
}

// carry joins a connection to its end until either side ends. A reset on one
// side becomes one on the other, so that the death of an instance looks as it
// does without the relay. Requests don't use half-closed connections.
func (r *relay) carry(from net.Conn) {
	to, err := net.DialTimeout("tcp", r.to, relayDial)
	if err != nil {
		closeBoth(from, nil, err)
		return
	}
	var once sync.Once
	pass := func(dst, src net.Conn) {
		_, err := io.Copy(dst, src)
		once.Do(func() { closeBoth(from, to, err) })
	}
	go pass(to, from)
	pass(from, to)
}

// lingering is a connection that can be reset.
type lingering interface{ SetLinger(seconds int) error }

func closeBoth(from, to net.Conn, err error) {
	for _, conn := range []net.Conn{from, to} {
		if conn == nil {
			continue
		}
		if l, ok := conn.(lingering); ok && err != nil {
			_ = l.SetLinger(0)
		}
		_ = conn.Close()
	}
}
