package config_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/config"
)

var _ = Describe("Capacity", func() {
	loadWith := func(capacity, schedule string) error {
		_, err := load(base + fmt.Sprintf(`capacity: {%s}
dataCentres: [{name: north}]
services: [{name: models, kind: engine, model: m, minTargets: 1, maxTargets: 4, schedule: [{name: busy, %s}]}]
`, capacity, schedule))
		return err
	}
	const validSchedule = `weekday: Wednesday, start: "15:00", end: "19:00", minTargets: 2`

	It("accepts schedules by weekday, by date and for every day", func() {
		Expect(loadWith("utcOffset: -5h, utilisation: 1", validSchedule)).To(Succeed())
		Expect(loadWith("lossShare: 0.5", `date: 2026-12-24, start: "00:00", end: "23:59", minTargets: 4`)).To(Succeed())
		Expect(loadWith("lossShare: 0.5", `start: "16:30", end: "19:00", minTargets: 1`)).To(Succeed())
	})

	DescribeTable("reports an invalid setting",
		func(capacity, schedule, want string) {
			Expect(loadWith(capacity, schedule)).To(MatchError(ContainSubstring(want)))
		},
		Entry("utilisation above one", "utilisation: 1.5", validSchedule, "capacity.utilisation is 1.5"),
		Entry("negative loss share", "lossShare: -1", validSchedule, "capacity.lossShare is -1"),
		Entry("UTC offset of a day", "utcOffset: 24h", validSchedule, "capacity.utcOffset is 24h"),
		Entry("unknown weekday", "lossShare: 1", `weekday: someday, start: "15:00", end: "19:00", minTargets: 2`, `is "someday"`),
		Entry("weekday and date", "lossShare: 1", `weekday: monday, date: 2026-12-24, start: "15:00", end: "19:00", minTargets: 2`, "a weekday and a date"),
		Entry("date that does not exist", "lossShare: 1", `date: 2026-02-30, start: "15:00", end: "19:00", minTargets: 2`, `is "2026-02-30"`),
		Entry("time without leading zero", "lossShare: 1", `start: "9:00", end: "19:00", minTargets: 2`, `is "9:00"`),
		Entry("end past midnight", "lossShare: 1", `start: "22:00", end: "02:00", minTargets: 2`, "split a schedule at midnight"),
		Entry("minimum above maxTargets", "lossShare: 1", `start: "10:00", end: "12:00", minTargets: 5`, "between 1 and maxTargets 4"),
	)

	DescribeTable("reports whether a schedule is active at a local time, or will be after the lead",
		func(local string, lead time.Duration, active bool) {
			s := config.Schedule{Weekday: "wednesday", Start: "15:00", End: "19:00"}
			localTime, err := time.Parse("2006-01-02 15:04", local)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Active(localTime, lead)).To(Equal(active))
		},
		Entry("before", "2026-12-02 14:56", 3*time.Minute, false),
		Entry("within the lead", "2026-12-02 14:57", 3*time.Minute, true),
		Entry("at the end", "2026-12-02 19:00", 3*time.Minute, false),
		Entry("on another day", "2026-12-03 16:00", 3*time.Minute, false),
		Entry("on the day before, within the lead", "2026-12-01 23:00", 17*time.Hour, true),
	)
})
