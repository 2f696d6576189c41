package hosted_test

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

var _ = Describe("An instance that has skipped records which the log no longer keeps", func() {
	It("does not say of a job that it does not exist, but refuses the request", func() {
		d := newDeployment(1, 1)
		events := tasks(2, 10)
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		d.instances[0].awaitResults("j", 2)
		d.store.TrimTopic("control")
		young := d.start(1)
		Eventually(young.isReady, eventuallyTimeout).Should(BeTrue())
		for _, path := range []string{"/lots/j?after=0", "/items/j?id=x"} {
			Expect(young.call(http.MethodGet, path, "r", key, nil).status).To(Equal(http.StatusServiceUnavailable), path)
		}
		Expect(young.call(http.MethodDelete, "/lots/j", "r", key, nil).status).To(Equal(http.StatusServiceUnavailable))
		Expect(young.call(http.MethodGet, "/none", "r", key, nil).status).To(Equal(http.StatusNotFound), "no job")
		checkOutputs(d.instances[0].awaitResults("j", 2), events)
	})

	// Guards against two holders of the controller lease for good: an instance that had read no
	// record of the lease took it for vacant.
	It("recognizes the holder of the controller lease, and takes the lease over from it only", func() {
		d := newDeployment(1, 1)
		d.awaitLogged("duty holder", 1)
		d.store.TrimTopic("control")
		young := d.start(1)
		holders := func() (names []string) {
			for _, m := range regexp.MustCompile(`event="duty holder" instance="n1" holder="(n\d)`).FindAllStringSubmatch(d.logged(), -1) {
				names = append(names, m[1])
			}
			return slices.Compact(names) // the holder may begin a new term if it has skipped records too
		}
		Eventually(holders, eventuallyTimeout).Should(Equal([]string{"n0"}), "%s", d.logged())
		d.instances[0].kill()
		Eventually(holders, eventuallyTimeout).Should(Equal([]string{"n0", "n1"}))
		young.kill()
		d.store.TrimTopic("control")
		d.start(2)
		Eventually(d.logged, eventuallyTimeout).Should(ContainSubstring(`event="duty holder" instance="n2" holder="n2/`), "nobody knows the lease any more")
	})

	// Guards against an instance that knows no other one for up to a minute: it relays nothing, and owns
	// the limits of all targets beside their owners.
	It("knows the instances whose announcements it could not read", func() {
		d := newDeployment(2, 1)
		Eventually(func() bool { return d.announcedFor() > time.Second }, eventuallyTimeout).Should(BeTrue())
		d.store.TrimTopic("control")
		young := d.start(2)
		Eventually(young.isReady, eventuallyTimeout).Should(BeTrue())
		young.links.set(refusing)
		Eventually(d.logged, eventuallyTimeout).Should(ContainSubstring(`event="instances announced"`))
		for n := range 3 {
			Eventually(func() int {
				return young.callWithin(2*time.Second, http.MethodPost, "/confirm/x", fmt.Sprint("r", n), key, nil).status
			}, eventuallyTimeout).Should(Equal(http.StatusOK))
		}
		Expect(strings.Count(d.logged(), `event="instances announced"`)).To(Equal(1), "one answer is enough")
	})

	// Guards against two bills of one window: the seals and counts of its first bill were not read.
	It("reports no window that may have been reported before", func() {
		d := newDeployment(1, 1)
		var calls int64
		reported := func() int64 {
			calls++
			Expect(d.instances[0].call(http.MethodPost, "/confirm/x", fmt.Sprint(calls), key, nil).status).To(Equal(http.StatusOK))
			return d.cloud.RequestCounts()["acme"]
		}
		Eventually(reported, eventuallyTimeout, "50ms").Should(BeNumerically(">", 20))
		before := d.cloud.RequestCounts()["acme"]
		d.store.TrimTopic("control")
		d.store.TrimTopic("usage")
		young := d.start(1)
		Eventually(young.isReady, eventuallyTimeout).Should(BeTrue())
		d.instances[0].kill()
		Eventually(d.logged, eventuallyTimeout).Should(ContainSubstring(`event="usage reported" instance="n1"`))
		Expect(d.cloud.RequestCounts()["acme"]).To(BeNumerically(">=", before))
	})
})

// announcedFor returns how long ago the latest announcement was appended.
func (d *deployment) announcedFor() time.Duration {
	latest := int64(0)
	for _, data := range d.store.Records("control", 0) {
		r, err := job.Decode(data)
		Expect(err).NotTo(HaveOccurred())
		if r.InstanceStarted != nil {
			latest = max(latest, r.At)
		}
	}
	return time.Since(time.UnixMilli(latest))
}
