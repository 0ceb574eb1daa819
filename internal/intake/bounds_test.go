package intake

import "testing"

func TestBoundsOf(t *testing.T) {
	for in, want := range map[[2]int]Bounds{
		{0, 0}: {}, {100, 0}: {Held: 40 << 20}, {0, 4200}: {Connections: 1600, QueryConnections: 200}, {0, 100}: {Connections: 1, QueryConnections: 1},
	} {
		if got := BoundsOf(in[0], in[1]); got != want {
			t.Errorf("MiB and descriptors %v: %+v, want %+v", in, got, want)
		}
	}
}
