package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// links are TCP proxies in front of the peer listener of each instance, and on its
// way to the store. They inject network faults.
type links struct {
	byInstance map[string]*link // to the instance, by its ID
	toStore    map[string]*link // from the instance to the store, by its ID
	instances  []instanceSpec
	random     *rand.Rand
	severing   *rand.Rand // of sever
}

// linkFault is the fault that a link applies to all its connections.
type linkFault struct {
	blocked    bool          // data is held back until the fault ends; none is lost
	delayShare float64       // share of reads that are delayed, like retransmissions after packet loss
	delay      time.Duration // of a delayed read
}

// link proxies the peer connections to one instance.
type link struct {
	target string // address

	mu           sync.Mutex // guards the fields below
	fault        linkFault
	faultChanged chan struct{} // closed and replaced when fault changes
	blackholed   chan struct{} // closed and replaced by blackhole
	conns        map[net.Conn]bool
}

// openLinks starts a link for each instance and sets the Link address in instances.
func openLinks(instances []instanceSpec, random *rand.Rand) (*links, error) {
	ls := &links{byInstance: make(map[string]*link), toStore: make(map[string]*link), instances: instances, random: random}
	for n := range instances {
		l, address, err := openLink(instances[n].Peer, rand.New(rand.NewPCG(random.Uint64(), uint64(n))))
		if err != nil {
			return nil, err
		}
		instances[n].Link = address
		ls.byInstance[instances[n].ID] = l
	}
	return ls, nil
}

// openStoreLinks starts a link on each instance's way to the store and puts its
// address in the place of the store's.
func (ls *links) openStoreLinks(random *rand.Rand) error {
	ls.severing = random
	for n := range ls.instances {
		l, address, err := openLink(ls.instances[n].Store, rand.New(rand.NewPCG(random.Uint64(), uint64(n))))
		if err != nil {
			return err
		}
		ls.instances[n].Store = address
		ls.toStore[ls.instances[n].ID] = l
	}
	return nil
}

// openLink starts a link to the target. It runs until the process exits.
func openLink(target string, random *rand.Rand) (l *link, address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	l = &link{target: target, faultChanged: make(chan struct{}), blackholed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go l.serve(listener, random)
	return l, listener.Addr().String(), nil
}

func (l *link) serve(listener net.Listener, random *rand.Rand) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		seed := random.Uint64()
		go l.proxy(from, seed)
	}
}

// proxy forwards data in both directions until either side closes.
func (l *link) proxy(from net.Conn, seed uint64) {
	defer from.Close()
	blackholed := l.waitUnblocked()
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = from.(*net.TCPConn).SetLinger(0) // reset the connection, as for a port without a listener
		return
	}
	defer to.Close()
	l.track(from, to)
	defer l.untrack(from, to)
	var forwarding sync.WaitGroup
	for n, direction := range [][2]net.Conn{{from, to}, {to, from}} {
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		forwarding.Go(func() {
			l.forward(direction[1], direction[0], blackholed, random)
			from.Close()
			to.Close()
		})
	}
	forwarding.Wait()
}

// forward copies data from one connection to the other, subject to the fault of the link.
func (l *link) forward(to, from net.Conn, blackholed <-chan struct{}, random *rand.Rand) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		l.waitUnblocked()
		select {
		case <-blackholed:
			continue // discard the data
		default:
		}
		if delay := l.drawDelay(random); delay > 0 {
			time.Sleep(delay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// drawDelay returns the delay for one read, zero for none.
func (l *link) drawDelay(random *rand.Rand) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if random.Float64() >= l.fault.delayShare {
		return 0
	}
	return l.fault.delay
}

// waitUnblocked waits until the link is not blocked. The channel it returns is closed
// by the next call of blackhole.
func (l *link) waitUnblocked() <-chan struct{} {
	for {
		l.mu.Lock()
		blocked, faultChanged, blackholed := l.fault.blocked, l.faultChanged, l.blackholed
		l.mu.Unlock()
		if !blocked {
			return blackholed
		}
		<-faultChanged
	}
}

func (l *link) track(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = true
	}
}

func (l *link) untrack(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		delete(l.conns, c)
	}
}

func (l *link) setFault(f linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.faultChanged)
	l.faultChanged = make(chan struct{})
}

// reset resets all open connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// blackhole discards all further data on existing connections without closing them.
// New connections are not affected.
func (l *link) blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.blackholed)
	l.blackholed = make(chan struct{})
}

// linkKinds are the faults of the schedule of hurtLinks: those of links, and client
// behavior that adds load. Kinds listed twice are twice as frequent.
var linkKinds = []string{"link-cut", "link-cut", "link-cut-all", "link-lossy", "link-reset", "link-blackhole", "retry-storm", "hot-key"}

// hurtLinks injects the faults of linkKinds until ctx ends. Its random source is separate,
// so that the schedule of the other faults of a seed stays the same.
func (h *hurter) hurtLinks(ctx context.Context) {
	ls := h.links
	for pause(ctx, time.Duration(800+ls.random.IntN(2500))*time.Millisecond) {
		kind, length := linkKinds[ls.random.IntN(len(linkKinds))], time.Duration(500+ls.random.IntN(4000))*time.Millisecond
		id := ls.instances[ls.random.IntN(len(ls.instances))].ID
		single := []*link{ls.byInstance[id]}
		switch kind {
		case "link-cut":
			h.poison.linkFault(id, length)
			h.setLinkFault(ctx, length, single, linkFault{blocked: true})
		case "link-cut-all":
			id = "all"
			h.poison.linkFault("", length)
			h.setLinkFault(ctx, length, ls.all(), linkFault{blocked: true})
		case "link-lossy":
			id = "all"
			h.setLinkFault(ctx, length, ls.all(), linkFault{delayShare: 0.05, delay: 250 * time.Millisecond})
		case "link-reset":
			h.poison.linkFault(id, 0)
			single[0].reset()
		case "link-blackhole":
			h.poison.linkFault(id, 0)
			single[0].blackhole()
		case "retry-storm":
			id = ""
			h.load.setAggressiveRetry(true)
			h.working.Go(func() { pause(ctx, length); h.load.setAggressiveRetry(false) })
		case "hot-key":
			id = ""
			h.load.hotKey.Store(true)
			h.working.Go(func() { pause(ctx, length); h.load.hotKey.Store(false) })
		}
		h.note(kind, fmt.Sprintf("%s for %v", id, length))
	}
}

const (
	severEvery = 6 * time.Second // at least, from one severing to the next
	severLater = 4 * time.Second // added at most
)

// severConnections makes open connections silent for good until ctx ends: those
// between some or all instances, and those of these to the store. A change of the
// configuration follows 0.1 to 3 s later, and another one.
func (h *hurter) severConnections(ctx context.Context) {
	random := h.links.severing
	for pause(ctx, severEvery+time.Duration(random.Int64N(int64(severLater)))) {
		h.poison.linkFault("", 0)
		share := []float64{1, 1, 0.7, 0.5}[random.IntN(4)]
		delay := []time.Duration{100, 300, 800, 1500, 3000}[random.IntN(5)] * time.Millisecond
		for _, k := range random.Perm(len(h.instances))[:max(int(share*float64(len(h.instances))), 1)] {
			h.links.byInstance[h.instances[k].ID].blackhole()
			h.links.toStore[h.instances[k].ID].blackhole()
		}
		h.note("sever", fmt.Sprintf("%v of the instances, changes after %v", share, delay))
		for range 2 {
			if !pause(ctx, delay) {
				return
			}
			h.note("config-route", h.changeRoutes())
		}
	}
}

func (ls *links) all() (all []*link) {
	for _, p := range ls.instances {
		all = append(all, ls.byInstance[p.ID])
	}
	return all
}

// setLinkFault applies a fault to the given links for the given time. If faults of a link
// overlap, the latest replaces the others, and the first to end clears it.
func (h *hurter) setLinkFault(ctx context.Context, length time.Duration, affected []*link, f linkFault) {
	for _, l := range affected {
		l.setFault(f)
	}
	h.working.Go(func() {
		pause(ctx, length)
		for _, l := range affected {
			l.setFault(linkFault{})
		}
	})
}
