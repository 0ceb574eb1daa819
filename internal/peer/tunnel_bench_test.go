package peer

import (
	"io"
	"net"
	"testing"
)

// BenchmarkTunnel sends an event of 100 bytes to a target through a tunnel on loopback and reads it back. The result
// includes both instances and the target.
func BenchmarkTunnel(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		if conn, err := l.Accept(); err == nil {
			_, _ = io.Copy(conn, conn)
		}
	}()
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := NewServer(NewHandler(ServerOptions{Tunnels: &tunnels{}}), nil, nil)
	go func() { _ = server.Serve(peers) }() // ends by Close
	defer server.Close()
	client := NewClient(Options{Address: func(string) (string, bool) { return peers.Addr().String(), true }})
	defer client.Close()
	conn, err := client.OpenTunnel(b.Context(), "b", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	event := make([]byte, 100)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(event); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(conn, event); err != nil {
			b.Fatal(err)
		}
	}
}
