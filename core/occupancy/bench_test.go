package occupancy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/occupancy"
)

// BenchmarkTargetSize runs one of 17 runners with 2,048 runs at a time on 12,000 engines for 20 s:
// steps of 11.5 s, in which each run starts and ends once and gains 64 tokens every 45 ms.
// B/s and messages/s are what the runner sends to all others, without the headers of HTTP.
func BenchmarkTargetSize(b *testing.B) {
	const runners, tasks, engines, length = 17, 2048, 12000, 20 * time.Second
	random := rand.New(rand.NewPCG(1, 1))
	var names []string
	for i := range runners - 1 {
		names = append(names, fmt.Sprint("instance-", i))
	}
	bytes, messages, encoded, looks := 0, 0, 0, 0
	for range b.N {
		p, table := occupancy.NewPublisher("self", 1, 0), occupancy.NewTable("instance-0")
		loads := make([]occupancy.Load, tasks)
		for now := time.Duration(0); now < length; now += 50 * ms {
			for i := range loads {
				if loads[i].Engine == "" || random.IntN(int(11500*ms/(50*ms))) == 0 {
					loads[i] = occupancy.Load{Engine: fmt.Sprintf("i-%010x", random.IntN(engines)*7919), Runs: 1, Tokens: 500 + random.Int64N(2500)}
				}
				loads[i].Tokens += 64 * 50 / 45
			}
			looks++
			for _, m := range p.Next(now, loads, names) {
				data, err := occupancy.Encode(m)
				if err != nil {
					b.Fatal(err)
				}
				bytes += len(data) * len(m.To)
				messages += len(m.To)
				encoded++
				for _, name := range m.To {
					p.Delivered(name)
				}
				got, err := occupancy.Decode(data)
				if err == nil {
					err = table.Apply(now, "self", got)
				}
				if err != nil {
					b.Fatal(err)
				}
			}
		}
	}
	seconds := float64(b.N) * length.Seconds()
	b.ReportMetric(float64(bytes)/seconds, "B/s")
	b.ReportMetric(float64(messages)/seconds, "messages/s")
	b.ReportMetric(float64(encoded)/seconds, "encoded/s")
	b.ReportMetric(b.Elapsed().Seconds()/seconds*100, "%core")
}

func BenchmarkMessage(b *testing.B) {
	for _, n := range []int{1, 64, 2048} {
		m := occupancy.Message{From: "instance-0", Incarnation: 1, Sequence: 1, Full: true, Loads: loadsOf(n)}
		data, err := occupancy.Encode(m)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("encode ", n), func(b *testing.B) {
			for range b.N {
				_, _ = occupancy.Encode(m)
			}
			b.ReportMetric(float64(len(data)), "B")
		})
		b.Run(fmt.Sprint("apply ", n), func(b *testing.B) {
			table := occupancy.NewTable("self")
			for range b.N {
				got, err := occupancy.Decode(data)
				if err == nil {
					err = table.Apply(0, "instance-0", got)
				}
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
