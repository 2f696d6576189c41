package hosted_test

import (
	"fmt"
	"maps"
	"math"
	"net/http"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// configureScaling publishes a newer configuration that lets the service of engines scale.
func (d *deployment) configureScaling() {
	d.version += 3
	config := hostplatform.Config(d.version, host, []string{key})
	config["services"].([]map[string]any)[0]["scaling"] = map[string]any{"min": 0, "max": 4, "boot-s": 0.2, "zone-prices": map[string]float64{"a": 1, "b": 1}}
	d.store.Put(platform.OperatorTopic, "config", config)
}

// oddEntries returns entries of the service that name no target to use, by id. The texts differ
// from an entry that does name one in the value of a field.
func oddEntries(service string) map[string]string {
	entry := func(odd string) string {
		return fmt.Sprintf(`{"service":%q,"address":"127.0.0.1:9","zone":"a","version":"v1","slots":8,"state":"ready","sequence":1,"born":1,"models":[{"name":"m","version":1}],%s}`, service, odd)
	}
	out := map[string]string{}
	for i, text := range []string{
		"\x00\xff", "null", "{}", "1e400", `{"service":"`, strings.Repeat("[", 10_000) + strings.Repeat("]", 10_000), strings.Repeat(`{"a":`, 52_000),
		entry(`"further":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)), entry(`"models":` + strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000)),
		entry(`"slots":-1`), entry(`"slots":4611686018427387904`), entry(`"slots":1e19`), entry(`"slots":1.5`), entry(`"slots":"8"`), entry(`"slots":` + strings.Repeat("9", 60_000)),
		entry(`"sequence":99999999999999999999`), entry(`"born":1.5`), entry(`"leaves_ms":1e400`), entry(`"cold-remaining-ms":{}`), entry(`"models":{}`),
		entry(`"models":[{"name":"m","version":1e400}]`), entry(`"state":"` + strings.Repeat("x", 60_000) + `"`), entry(`"state":1`), entry(`"state":"tired"`),
		entry(`"address":""`), entry(`"address":":9"`), entry(`"address":"127.0.0.1:0"`), entry(`"address":"127.0.0.1:70000"`), entry(`"address":"127.0.0.1:-1"`),
		entry(`"address":"localhost:9"`), entry(`"address":"0.0.0.0:9"`), entry(`"address":"[::ffff:0.0.0.0]:9"`), entry(`"address":"[::ffff:224.0.0.1]:9"`), entry(`"address":"255.255.255.255:9"`),
		entry(`"version":"` + strings.Repeat("x", 60_000) + `"`), entry(`"zone":"` + strings.Repeat("x", 60_000) + `"`), entry(`"slots":8.0`), entry(`"slots":8e0`),
		"[" + entry(`"further":1`) + "]", entry(`"further":1`) + "{}", "\xef\xbb\xbf" + entry(`"further":1`),
		entry(`"address":"127.0.0.1:9\r\nX: y"`), entry(`"address":"u@127.0.0.1:9/x"`),
	} {
		out[fmt.Sprintf("odd-%s-%d", service, i)] = text
	}
	for _, id := range []string{"", "odd\nid", "odd\xff", " odd", strings.Repeat("\u00e4", 127)} {
		out[id] = entry(`"further":1`)
	}
	return out
}

var _ = Describe("Odd entries among those of the targets", func() {
	// The controller divided by a multiple of the slots, which had overflowed to zero.
	It("do not end the controller with a number of slots that is too large", func() {
		d := newDeployment(1, 2)
		d.configureScaling()
		entry := d.engines[0].RegistryEntry("models", "127.0.0.1:9", "a", "ready")
		entry["slots"] = int64(1) << 62
		d.store.Put(platform.RegistryTopic, "odd", entry)
		d.awaitRegistryRead()
		d.awaitLogged("duty holder", 1)
		events := tasks(16, 1000) // two seconds, in which the controller plans several times
		in := d.instances[0]
		Expect(in.call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		checkOutputs(in.awaitResults("j", len(events)), events)
		Expect(countLines(d.logged(), "run broken")).To(BeZero())
	})

	// Each of them failed for another reason: the process ended, or entries got requests that
	// could not be sent, held up the list or were logged with each heartbeat.
	It("end no instance, get no request, and the others are followed", func() {
		d := newDeployment(1, 2)
		d.configureScaling()
		for _, service := range []string{"models", "desk"} {
			for range 2 { // of which the second says nothing new
				for id, value := range oddEntries(service) {
					d.store.PutBytes(platform.RegistryTopic, id, []byte(value))
				}
			}
		}
		d.awaitRegistryRead()
		d.store.TrimTopic(platform.RegistryTopic) // an instance that starts reads the latest entries
		Eventually(d.start(1).isReady, eventuallyTimeout).Should(BeTrue())
		d.awaitRegistryRead()
		d.awaitAnnouncements()

		events := tasks(24, 40)
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		for n := range 20 {
			Expect(d.instances[n%2].call(http.MethodPost, "/once/x", fmt.Sprint("once-", n), key, nil).status).To(Equal(http.StatusOK))
		}
		for id, res := range d.callAll(40, time.Millisecond) {
			Expect(res.status).To(Equal(http.StatusOK), id)
		}
		checkOutputs(d.instances[1].awaitResults("j", len(events)), events)

		// An instance stays with the targets that it has connections to until half of the slots of one
		// are in use, so these hold their requests until the added one gets some.
		reached, reachedOnce := make(chan struct{}), sync.Once{}
		d.handlePlain(func(_ http.ResponseWriter, r *http.Request) bool {
			select {
			case <-reached:
			case <-r.Context().Done():
			}
			return false
		})
		added := d.addTarget("p9", "desk", 6, hostplatform.FirstSoftware)
		added.SetPlainHandler(func(http.ResponseWriter, *http.Request) bool {
			reachedOnce.Do(func() { close(reached) })
			return false
		})
		Eventually(func() int { d.callAll(20, time.Millisecond); return len(added.Arrivals()) }, eventuallyTimeout).Should(BeNumerically(">", 0))
		d.handlePlain(nil)
		d.remove("p9")
		before := len(added.Arrivals())
		for id, res := range d.callAll(40, time.Millisecond) {
			Expect(res.status).To(Equal(http.StatusOK), id)
		}
		Expect(added.Arrivals()).To(HaveLen(before), "requests to a target that is gone")

		times := map[string]int{}
		for line := range strings.Lines(d.logged()) {
			Expect(len(line)).To(BeNumerically("<", 1024), "length of %.200s", line)
			if strings.Contains(line, `event="target unreadable"`) {
				times[line[strings.Index(line, "instance="):strings.Index(line, " error=")]]++
			} else {
				Expect(line).NotTo(ContainSubstring(`target="odd`))
			}
		}
		for id := range oddEntries("desk") {
			for _, in := range d.instances {
				Expect(in.done).To(BeEmpty(), in.name+" ended")
				if utf8.ValidString(id) {
					Expect(times).To(HaveKeyWithValue(fmt.Sprintf("instance=%q target=%q", in.name, id), 1))
				}
			}
		}
	})

	// The entries of the target itself counted as earlier ones and were ignored.
	It("under the id of a target hide it until its next heartbeats only", func() {
		d := newDeployment(1, 1)
		d.mu.Lock()
		entry, heartbeat := d.entries["p0"], int64(1000)
		d.mu.Unlock()
		d.register("p0", func() map[string]any { // with mu held
			e := entry()
			heartbeat++
			e["sequence"] = heartbeat
			return e
		})
		for _, odd := range []map[string]any{{"sequence": int64(math.MaxInt64)}, {"born": int64(math.MaxInt64)}, {"sequence": 1 << 40}, {"born": 1 << 40}} {
			later := entry()
			later["state"] = "draining"
			maps.Copy(later, odd)
			d.store.Put(platform.RegistryTopic, "p0", later)
			d.awaitRegistryRead()
			before := len(d.plain[0].Arrivals())
			Eventually(func() int {
				d.callAll(20, time.Millisecond)
				return len(d.plain[0].Arrivals())
			}, eventuallyTimeout).Should(BeNumerically(">", before), "%v", odd)
		}
	})

	// Callers got the refusal of the instance that took the request for a caller's: 401.
	DescribeTable("take nothing from callers with the address", func(addressOf func(d *deployment, service string) string) {
		d := newDeployment(2, 2)
		for _, service := range []string{"desk", "models"} {
			d.store.Put(platform.RegistryTopic, "odd-"+service, d.engines[0].RegistryEntry(service, addressOf(d, service), "a", "ready"))
		}
		d.awaitRegistryRead()
		events := tasks(12, 20)
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		for n := range 30 {
			in := d.instances[n%2]
			Expect(in.call(http.MethodPost, "/once/x", fmt.Sprint("once-", n), key, nil).status).To(Equal(http.StatusOK))
			Expect(in.call(http.MethodPost, "/score/x", fmt.Sprint("public-", n), "", nil).status).To(Equal(http.StatusOK))
		}
		for id, res := range d.callAll(60, time.Millisecond) {
			Expect(res.status).To(Equal(http.StatusOK), id)
		}
		checkOutputs(d.instances[1].awaitResults("j", len(events)), events)
	},
		Entry("of an instance", func(d *deployment, _ string) string { return d.instances[0].frontAddress }),
		Entry("of another target", func(d *deployment, service string) string {
			return address(d.servers[map[string]string{"desk": "p0", "models": "e0"}[service]])
		}),
	)
})
