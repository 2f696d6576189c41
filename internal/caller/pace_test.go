package caller

import "testing"

func TestPacerRestsOnlyForSlowSources(t *testing.T) {
	const steps = 100
	for name, c := range map[string]struct {
		flushes []int // bytes, in turn
		rests   int   // of the steps, at most the first for fast sources
	}{
		"a token each":                     {[]int{170}, steps},
		"what eight milliseconds bring":    {[]int{1360}, steps},
		"full buffers":                     {[]int{8000}, 0},
		"full buffers with a rest between": {[]int{8000, 100}, 0},
		"half of a buffer and more":        {[]int{4000}, 1},
	} {
		var p pacer
		rests := 0
		for i := range steps {
			p.wrote(c.flushes[i%len(c.flushes)])
			if p.flushed() {
				rests++
			}
		}
		if rests != c.rests {
			t.Errorf("%s: rested after %d of %d writes, want %d", name, rests, steps, c.rests)
		}
	}
}
