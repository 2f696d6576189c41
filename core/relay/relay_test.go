package relay_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/relay"
)

// Replays a partition: a share of the instances is cut off at once, and each of them has twenty
// requests of callers in ten seconds. Callers notice at most one failure in fifty, and no other
// instance gets more than its part several times over.
func TestMostInstancesAreCutOff(t *testing.T) {
	for _, c := range []struct {
		instances int
		cutShare  float64
	}{{9, 0.34}, {9, 0.67}, {295, 0.34}, {295, 0.6}, {295, 0.7}, {1700, 0.6}} {
		t.Run(fmt.Sprintf("%d instances, %.2f cut off", c.instances, c.cutShare), func(t *testing.T) {
			const requests = 20
			random := rand.New(rand.NewPCG(uint64(c.instances), 1))
			names, cut := make([]string, c.instances), map[string]bool{}
			for i := range names {
				names[i] = fmt.Sprint("n", i)
				cut[names[i]] = float64(i) < c.cutShare*float64(c.instances)
			}
			random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
			served, load := 0, map[string]int{}
			for _, self := range names {
				if !cut[self] {
					continue
				}
				peers := relay.NewPeers()
				for r := range requests {
					now := time.Duration(r) * 500 * time.Millisecond
					tried := map[string]bool{self: true}
					for name, found := peers.Choose(now, names, tried, random.Uint64()); found; name, found = peers.Choose(now, names, tried, random.Uint64()) {
						tried[name] = true
						if !cut[name] {
							peers.Served(now, name)
							load[name]++
							served++
							break
						}
						peers.Failed(now, name)
					}
				}
			}
			sent := requests * int(c.cutShare*float64(c.instances)+0.999)
			if failed := sent - served; failed*50 > sent {
				t.Errorf("%d of %d requests failed", failed, sent)
			}
			fairPart := float64(sent) / float64(c.instances-sent/requests)
			for name, got := range load {
				if float64(got) > 3*fairPart+3*requests {
					t.Errorf("instance %s served %d requests, its part is %.0f", name, got, fairPart)
				}
			}
		})
	}
}

func TestAnInstanceThatFailedIsChosenAgainLater(t *testing.T) {
	peers := relay.NewPeers()
	names := []string{"a", "b"}
	peers.Served(0, "a")
	peers.Failed(time.Second, "a")
	if name, found := peers.Choose(time.Second, names, nil, 0); !found || name != "b" {
		t.Fatalf("chose %q", name)
	}
	if _, found := peers.Choose(time.Second, names, map[string]bool{"b": true}, 0); found {
		t.Fatal("chose an instance that has just failed")
	}
	if name, found := peers.Choose(4*time.Second, names, map[string]bool{"b": true}, 0); !found || name != "a" {
		t.Fatalf("chose %q", name)
	}
}
