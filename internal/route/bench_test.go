package route

import (
	"fmt"
	"testing"
)

// BenchmarkMatch looks up a path that matches the last route of its host, among
// 400 routes. The name of a case is the number of hosts.
func BenchmarkMatch(b *testing.B) {
	const routes = 400
	for _, hosts := range []int{1, 40} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			t := &Table{}
			for i := range routes {
				t.Routes = append(t.Routes, Route{Host: fmt.Sprintf("h%d.example", i%hosts), PathPrefix: fmt.Sprintf("/service/%d/", 1000+i)})
			}
			t.Build()
			path := fmt.Sprintf("/service/%d/x", 1000+routes-hosts)
			b.ReportAllocs()
			for b.Loop() {
				if t.Match("h0.example:8080", path) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}
