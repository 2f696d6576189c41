package speed

const (
	// forget is the factor by which older observations count less with each new one: the fit
	// covers about the last 2,000.
	forget = 0.9995
	// minObservations are needed for a fit.
	minObservations = 100
	// The effect is bounded for each run, each thousand tokens and in total: an estimate that is
	// wrong must not make an engine unusable.
	maxPerRun      = 0.1
	maxPerKilo     = 0.05
	maxEffect      = 3.0
	maxFitInterval = 4.0 // multiple of the mean; longer ones are pauses
	// The ridge keeps the fit stable when runs and tokens rise together, as they mostly do.
	ridge = 1e-3
)

// effect estimates by how much the runs on an engine and the tokens that they hold lengthen an
// event: linear least squares with decaying weights. It never falls with the load.
type effect struct {
	n, y, x1, x2    float64 // sums of weights, intervals, runs besides the own one, thousands of tokens
	x11, x12, x22   float64
	x1y, x2y        float64
	perRun, perKilo float64 // relative to the interval without load
}

func (l Load) coordinates() (runs, kilo float64) {
	return float64(min(max(0, l.Runs-1), 1<<10)), min(max(0, float64(l.Tokens)/1000), 1<<12)
}

func (f *effect) add(interval float64, load Load) {
	if f.n > minObservations && interval > maxFitInterval*f.y/f.n {
		return
	}
	x1, x2 := load.coordinates()
	for _, sum := range []struct {
		of    *float64
		value float64
	}{
		{&f.n, 1},
		{&f.y, interval},
		{&f.x1, x1},
		{&f.x2, x2},
		{&f.x11, x1 * x1},
		{&f.x12, x1 * x2},
		{&f.x22, x2 * x2},
		{&f.x1y, x1 * interval},
		{&f.x2y, x2 * interval},
	} {
		*sum.of = *sum.of*forget + sum.value
	}
}

// fit computes the slopes. If one is negative, it is set to zero and the other one is fitted
// alone.
func (f *effect) fit() {
	if f.n < minObservations {
		return
	}
	m1, m2, my := f.x1/f.n, f.x2/f.n, f.y/f.n
	c11, c22, c12 := f.x11/f.n-m1*m1+ridge, f.x22/f.n-m2*m2+ridge, f.x12/f.n-m1*m2
	c1y, c2y := f.x1y/f.n-m1*my, f.x2y/f.n-m2*my
	det := c11*c22 - c12*c12
	if det <= 0 {
		return
	}
	b1, b2 := (c22*c1y-c12*c2y)/det, (c11*c2y-c12*c1y)/det
	switch {
	case b1 < 0:
		b1, b2 = 0, max(0, c2y/c22)
	case b2 < 0:
		b1, b2 = max(0, c1y/c11), 0
	}
	base := my - b1*m1 - b2*m2
	if base <= 0 {
		return
	}
	f.perRun, f.perKilo = min(b1/base, maxPerRun), min(b2/base, maxPerKilo)
}

// factor returns by how much longer an event takes with the load than without other load.
func (f *effect) factor(load Load) float64 {
	runs, kilo := load.coordinates()
	return min(1+f.perRun*runs+f.perKilo*kilo, maxEffect)
}
