package allowance_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/allowance"
)

// FuzzRequest grants arbitrary requests of another instance. Each must be refused, or get a
// grant within what it asks for.
func FuzzRequest(f *testing.F) {
	for _, seed := range []string{
		`{"Target":"t","PerSecond":5,"Share":1,"Count":3,"MaxDelay":1000000}`,
		`{"Target":"t","PerSecond":-5,"Share":1,"Count":3}`,
		`{"Target":"t","PerSecond":1e300,"Share":1,"Count":65536,"Must":true}`,
		`{"Target":"t","PerSecond":1e-300,"Share":1e-300,"Count":65536,"Must":true,"Burst":3600000000000}`,
		`{"Target":"t","Count":9223372036854775807,"MaxDelay":9223372036854775807}`,
		`{"Target":"t","PerSecond":5,"Share":2,"Count":1,"Burst":-1}`,
		`{"Target":"","Count":1}`, `{"Count":"1"}`, `[]`, `{`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var r allowance.Request
		if json.Unmarshal(data, &r) != nil || r.Check() != nil {
			return
		}
		granter := allowance.NewGranter()
		for now := time.Duration(0); now < 3*time.Second; now += time.Second {
			g := granter.Take(now, r)
			if g.Count < 0 || g.Count > r.Count || g.Delay < 0 || g.RetryAfter < 0 || !r.Must && g.Delay > max(0, r.MaxDelay) {
				t.Fatalf("grant %+v to %+v", g, r)
			}
		}
	})
}
