package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"
)

// Guards against a request that counts as not sent, and is sent elsewhere, although bytes of
// it reached the target through a tunnel that ended meanwhile: this side closed it, or the
// link or the target ended.
func TestTunnelDoesNotMissWhatReachedTheTarget(t *testing.T) {
	const rounds = 60
	for name, end := range map[string]func(conn *TunnelConn, target net.Conn, proxy *faultyProxy){
		"closed here": func(conn *TunnelConn, _ net.Conn, _ *faultyProxy) { _ = conn.Close() },
		"target resets": func(_ *TunnelConn, target net.Conn, _ *faultyProxy) {
			_ = target.(*net.TCPConn).SetLinger(0)
			_ = target.Close()
		},
		"link breaks":       func(_ *TunnelConn, _ net.Conn, proxy *faultyProxy) { proxy.closeAll() },
		"write is given up": func(conn *TunnelConn, _ net.Conn, _ *faultyProxy) { _ = conn.SetWriteDeadline(time.Unix(1, 0)) },
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(68, 68))
			for range rounds {
				if err := sendAndEnd(t, end, time.Duration(random.Int64N(int64(time.Millisecond)))); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

// sendAndEnd writes to a tunnel and ends it after a while. The error says that the write
// reported no byte although the target has received some.
func sendAndEnd(t *testing.T, end func(*TunnelConn, net.Conn, *faultyProxy), after time.Duration) error {
	accepted, received := make(chan net.Conn, 1), make(chan int, 1)
	conn, proxy := openTunnel(t, &tunnels{}, func(target net.Conn) {
		accepted <- target
		n, _ := target.Read(make([]byte, 1<<10))
		received <- n
		_, _ = target.Read(make([]byte, 1<<10)) // until the end
	})
	target, written := <-accepted, 0
	var writing sync.WaitGroup
	writing.Go(func() { written, _ = conn.Write(make([]byte, 100)) })
	time.Sleep(after)
	end(conn, target, proxy)
	writing.Wait()
	_ = conn.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	select {
	case n := <-received:
		if written == 0 && n > 0 {
			return fmt.Errorf("the target received %d bytes of a write that reports none", n)
		}
	case <-ctx.Done():
		return fmt.Errorf("the target's connection is still open")
	}
	return nil
}
