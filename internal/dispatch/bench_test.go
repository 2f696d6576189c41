package dispatch

import (
	"context"
	"testing"
)

// BenchmarkHop measures the time to acquire and release a slot at the owner itself, and
// from another instance over the loopback interface.
func BenchmarkHop(b *testing.B) {
	a, owner, _ := startInstances(b, 1<<20)
	for name, n := range map[string]*testInstance{"at the owner": owner, "from another": a} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				g, err := n.Admit(context.Background(), testTarget, testRequest)
				if err != nil {
					b.Fatal(err)
				}
				g.Finish(1)
			}
		})
	}
}
