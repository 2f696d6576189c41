package dispatch

import (
	"context"
	"testing"
)

// BenchmarkHop reports what a slot costs at the owner itself and from another
// instance, over loopback.
func BenchmarkHop(b *testing.B) {
	a, owner, _ := start(b, 1<<20)
	for name, n := range map[string]*node{"at the owner": owner, "from another": a} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				g, err := n.Admit(context.Background(), target, ask)
				if err != nil {
					b.Fatal(err)
				}
				g.Finish(1)
			}
		})
	}
}
