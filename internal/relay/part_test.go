package relay

import (
	"strings"
	"testing"
)

// Guards against IDs of prompt parts that are remembered at the length that callers choose.
func TestPartIDIsShort(t *testing.T) {
	long := strings.Repeat("a", 50_000)
	if got := PartID("5c1e07a2"); got != "5c1e07a2" {
		t.Errorf("a short ID became %q", got)
	}
	got := PartID(long)
	if len(got) > maxPartID || PartID(got) != got || PartID(long+"b") == got || PartID(long) != got {
		t.Errorf("a long ID became %q", got)
	}
}
