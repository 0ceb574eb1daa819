package membership

import (
	"testing"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/gossip"
)

// Guards against an instance that looks like one of an older build: its row came first
// through an instance that passes no features on, or it was restarted with another build.
func TestFeaturesOfMembersAreKnown(t *testing.T) {
	const all = uint32(board.OwnFeatures)
	alive := func(incarnation uint64, features uint32) gossip.Member {
		return gossip.Member{ID: "b", Incarnation: incarnation, State: string(board.MemberAlive), PeerAddr: "b:1", Features: features}
	}
	light := func(incarnation uint64, features uint32) gossip.Member { return lightRow(alive(incarnation, features)) }
	for _, c := range []struct {
		name string
		rows []gossip.Member
		want uint32
	}{
		{"its own row", []gossip.Member{alive(1, all)}, all},
		{"passed on without features", []gossip.Member{alive(1, 0)}, 0},
		{"its own light row later", []gossip.Member{alive(1, 0), light(1, all)}, all},
		{"passed on later without features", []gossip.Member{alive(1, all), alive(1, 0), light(1, 0)}, all},
		{"restarted with an older build", []gossip.Member{alive(1, all), alive(2, 0)}, 0},
		{"restarted with a newer build", []gossip.Member{alive(1, 0), alive(2, all)}, all},
	} {
		o := Options{Board: board.New(), Clock: quartz.NewReal()}.withDefaults()
		v := newView(gossip.Member{ID: "a", Incarnation: 1, State: string(board.MemberAlive), PeerAddr: "a:1"}, o)
		for _, row := range c.rows {
			v.merge([]gossip.Member{row}, time.Unix(1000, 0))
		}
		if m, _ := o.Board.Members.Get("b"); m.Features != board.Features(c.want) {
			t.Errorf("%s: features %b, want %b", c.name, m.Features, c.want)
		}
	}
}
