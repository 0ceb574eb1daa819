package netfault

import (
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// maxHeld bounds the bytes that one connection holds on their way, like the
// send buffer of a socket.
const maxHeld = 256 << 10

// packet is a piece of what was written, and when it arrives.
type packet struct {
	due  time.Time
	data []byte
}

// outQueue holds what was written and hasn't arrived: because of latency, or
// because a cut is in the way. A timer moves it on; nothing runs while it is
// empty or cut off.
type outQueue struct {
	conn *conn

	sendMu sync.Mutex // held while bytes go to the TCP connection, for their order

	mu      sync.Mutex // guards the fields below
	packets []packet
	held    int  // bytes
	pumping bool // a pump runs or a timer for one is set
	closing bool // close once all is sent
	err     error
	room    chan struct{} // closed when room was made or err set
}

func newOutQueue(c *conn) *outQueue {
	return &outQueue{conn: c, room: make(chan struct{})}
}

// write sends b, or holds it to be sent later.
func (q *outQueue) write(b []byte) (int, error) {
	if q.direct() {
		defer q.sendMu.Unlock()
		return q.conn.Conn.Write(b)
	}
	written := 0
	for written < len(b) {
		n, err := q.hold(b[written:])
		if err != nil {
			return written, err
		}
		written += n
	}
	return written, nil
}

// direct reports whether bytes may go straight to the TCP connection. If so
// it holds sendMu, so that no later write overtakes this one.
func (q *outQueue) direct() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.packets) > 0 || q.pumping || !q.pathFree() {
		return false
	}
	return q.sendMu.TryLock()
}

func (q *outQueue) pathFree() bool {
	now := q.conn.network.rules.Load()
	peer := q.conn.peer()
	return now.delay(q.conn.owner, peer) == 0 && !now.cutOff(q.conn.owner, peer)
}

// hold queues as much of b as there is room for, and waits for some.
func (q *outQueue) hold(b []byte) (int, error) {
	for {
		n, room, err := q.tryHold(b)
		if n > 0 || err != nil {
			return n, err
		}
		select {
		case <-room:
		case <-q.conn.writeBy.expired():
			return 0, os.ErrDeadlineExceeded
		case <-q.conn.closed:
			return 0, net.ErrClosed
		}
	}
}

func (q *outQueue) tryHold(b []byte) (n int, room <-chan struct{}, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err != nil || q.closing {
		return 0, nil, errors.Join(q.err, closedIf(q.closing))
	}
	n = min(len(b), maxHeld-q.held)
	if n <= 0 {
		return 0, q.room, nil
	}
	delay := q.conn.network.rules.Load().delay(q.conn.owner, q.conn.peer())
	q.packets = append(q.packets, packet{due: time.Now().Add(delay), data: slices.Clone(b[:n])})
	q.held += n
	q.schedule()
	return n, nil, nil
}

func closedIf(closed bool) error {
	if closed {
		return net.ErrClosed
	}
	return nil
}

// schedule sets the timer for the first packet. The caller holds mu.
func (q *outQueue) schedule() {
	if q.pumping || len(q.packets) == 0 {
		return
	}
	q.pumping = true
	time.AfterFunc(max(0, time.Until(q.packets[0].due)), q.pump)
}

// kick looks again at what is held, after a change of the rules.
func (q *outQueue) kick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.schedule()
	q.closeIfDone()
}

// pump sends the packets that are due.
func (q *outQueue) pump() {
	q.sendMu.Lock()
	defer q.sendMu.Unlock()
	for {
		data, ok := q.next()
		if !ok {
			return
		}
		q.sent(len(data), q.send(data))
	}
}

// next returns the first packet if it is due and the path is free. Otherwise
// the pump ends, with a timer for the packet that isn't due yet.
func (q *outQueue) next() ([]byte, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	cutOff := q.conn.network.rules.Load().cutOff(q.conn.owner, q.conn.peer())
	due := len(q.packets) > 0 && !q.packets[0].due.After(time.Now())
	if due && !cutOff {
		return q.packets[0].data, true
	}
	q.pumping = false
	if !cutOff {
		q.schedule()
	}
	q.closeIfDone()
	return nil, false
}

// send writes all of data. A write deadline of the owner isn't for bytes that
// it has handed over already.
func (q *outQueue) send(data []byte) error {
	for {
		n, err := q.conn.Conn.Write(data)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		data = data[n:]
		if err := q.conn.Conn.SetWriteDeadline(time.Time{}); err != nil {
			return err
		}
	}
}

func (q *outQueue) sent(n int, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.packets) > 0 {
		q.packets = q.packets[1:]
		q.held -= n
	}
	if err != nil {
		q.err = err
		q.drop()
	}
	q.signal()
}

// signal wakes the writers that wait for room. The caller holds mu.
func (q *outQueue) signal() {
	close(q.room)
	q.room = make(chan struct{})
}

func (q *outQueue) drop() {
	q.packets = nil
	q.held = 0
}

// discard throws away what is held, for a connection that went silent.
func (q *outQueue) discard() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.drop()
	q.signal()
}

// closeWhenSent closes the TCP connection once nothing is held any more.
func (q *outQueue) closeWhenSent() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closing {
		return
	}
	q.closing = true
	if !q.closeIfDone() {
		time.AfterFunc(lostHold, q.conn.closeTCP)
	}
}

// closeIfDone closes the TCP connection if that is all that is left to do. A
// frozen owner closes nothing: a paused process doesn't, and its peers must
// not learn of the pause by it. The caller holds mu.
func (q *outQueue) closeIfDone() bool {
	frozen := q.conn.network.rules.Load().frozen[q.conn.owner]
	if !q.closing || len(q.packets) > 0 || q.pumping || frozen {
		return false
	}
	q.conn.closeTCP()
	return true
}
