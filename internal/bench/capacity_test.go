package bench

import (
	"io"
	"math"
	"net"
	"testing"
)

// The symptom would be a page that promises room where there is none. Events:
// what an instance spends has a part that all share and a part that grows with
// the number of instances, and one line through the values of one instance
// hides either. Cause: a model without one of the parts.
func TestSlopesTellSharedFromGrowingParts(t *testing.T) {
	var points []CapacityPoint
	for _, n := range []int{4, 8, 16, 32, 64} {
		points = append(points, CapacityPoint{
			Instances:   n,
			TargetBytes: 1200 / float64(n),       // each target is polled twice, whoever does it
			PeerBytes:   500 + 20*float64(n),     // a row of each other instance
			Cores:       0.001 + 0.08/float64(n), // both
		})
	}
	byName := make(map[string]Slope)
	for _, s := range overInstances(points) {
		byName[s.Measure] = s
	}
	for _, want := range []struct {
		measure              string
		shared, each, growth float64
	}{
		{"bytes with targets", 1200, 0, 0},
		{"bytes with peers", 0, 500, 20},
		{"all control bytes", 1200, 500, 20},
		{"processor", 0.08, 0.001, 0},
		{"memory", 0, 0, 0},
	} {
		s := byName[want.measure]
		if !near(s.Shared, want.shared) || !near(s.Each, want.each) || !near(s.Growth, want.growth) {
			t.Errorf("%s: %g/n + %g + %g*n, want %g, %g, %g", want.measure, s.Shared, s.Each, s.Growth, want.shared, want.each, want.growth)
		}
	}
	bytes := byName["all control bytes"]
	if want := 1 - (1200.0/sizeInstances+500+20*sizeInstances)/boundBytes; !near(bytes.Margin(), want) {
		t.Errorf("margin of the bytes: %g, want %g", bytes.Margin(), want)
	}
	if margin := byName["bytes with peers"].Margin(); !math.IsNaN(margin) {
		t.Errorf("margin without a bound: %g", margin)
	}
}

// The symptom was a margin of 1% where the parts, added up, took twice the
// bound. Events: bytes with the platform shrank by instance while those with
// peers grew. Cause: one fit of their sum, in which neither shows.
func TestAllBytesAreTheSumOfTheirParts(t *testing.T) {
	var points []CapacityPoint
	for i, n := range []int{8, 16, 32, 64} {
		points = append(points, CapacityPoint{
			Instances: n, PeerBytes: []float64{7963, 7995, 8417, 10006}[i],
			PlatformBytes: []float64{46231, 26564, 16435, 9821}[i], TargetBytes: []float64{55095, 26203, 13975, 5915}[i],
		})
	}
	slopes := overInstances(points)
	parts := slopes[0].AtSize + slopes[1].AtSize + slopes[2].AtSize
	if all := slopes[controlParts]; all.Measure != allBytes || !near(all.AtSize, parts) || all.Growth == 0 {
		t.Errorf("%s: %g and growth %g, the parts %g", all.Measure, all.AtSize, all.Growth, parts)
	}
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-6*math.Max(1, math.Abs(b)) }

// Bytes have to be counted once at each end and under the peer that they are
// with, or the page blames the wrong part.
func TestMeterCountsByKindAndEnd(t *testing.T) {
	served := newMeter("", nil)
	listener, err := served.listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	addr := listener.Addr().String()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(conn, conn)
		_ = conn.Close()
	}()
	dialled := newMeter(addr, nil)
	conn, err := dialled.dial(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	echo(t, conn, "hello")
	if got := dialled.toPlatform.snapshot(); got != (Traffic{Sent: 5, Received: 5, Open: 1}) {
		t.Errorf("dialled: %+v", got)
	}
	_ = conn.Close()
	if got := dialled.toPlatform.snapshot(); got.Open != 0 {
		t.Error("counted as open after its end")
	}
	// The echo may arrive before who sent it has counted it.
	<-ended
	if got := served.at(addr); got != (Traffic{Sent: 5, Received: 5}) {
		t.Errorf("accepted: %+v", got)
	}
	m := newMeter("a:1", map[string]bool{"b:2": true})
	if m.of("a:1") != &m.toPlatform || m.of("b:2") != &m.toTargets || m.of("c:3") != &m.toPeers {
		t.Error("traffic under the wrong kind")
	}
}

func echo(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, len(text))); err != nil {
		t.Fatal(err)
	}
}
