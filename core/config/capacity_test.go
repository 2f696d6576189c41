package config_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/config"
)

var _ = Describe("Capacity", func() {
	check := func(capacity, schedule string) error {
		_, err := load(base + fmt.Sprintf(`capacity: {%s}
dataCentres: [{name: north}]
services: [{name: models, kind: engine, model: m, minTargets: 1, maxTargets: 4, schedule: [{name: busy, %s}]}]
`, capacity, schedule))
		return err
	}
	const good = `weekday: Wednesday, start: "15:00", end: "19:00", minTargets: 2`

	It("accepts weekdays, dates and every day", func() {
		Expect(check("utcOffset: -5h, utilisation: 1", good)).To(Succeed())
		Expect(check("lossShare: 0.5", `date: 2026-12-24, start: "00:00", end: "23:59", minTargets: 4`)).To(Succeed())
		Expect(check("lossShare: 0.5", `start: "16:30", end: "19:00", minTargets: 1`)).To(Succeed())
	})

	DescribeTable("names the fault",
		func(capacity, schedule, want string) {
			Expect(check(capacity, schedule)).To(MatchError(ContainSubstring(want)))
		},
		Entry("utilisation above one", "utilisation: 1.5", good, "capacity.utilisation is 1.5"),
		Entry("negative loss share", "lossShare: -1", good, "capacity.lossShare is -1"),
		Entry("offset of a day", "utcOffset: 24h", good, "capacity.utcOffset is 24h"),
		Entry("unknown day", "lossShare: 1", `weekday: someday, start: "15:00", end: "19:00", minTargets: 2`, `is "someday"`),
		Entry("day and date", "lossShare: 1", `weekday: monday, date: 2026-12-24, start: "15:00", end: "19:00", minTargets: 2`, "a weekday and a date"),
		Entry("date out of the calendar", "lossShare: 1", `date: 2026-02-30, start: "15:00", end: "19:00", minTargets: 2`, `is "2026-02-30"`),
		Entry("short time", "lossShare: 1", `start: "9:00", end: "19:00", minTargets: 2`, `is "9:00"`),
		Entry("past midnight", "lossShare: 1", `start: "22:00", end: "02:00", minTargets: 2`, "split a schedule at midnight"),
		Entry("above the most targets", "lossShare: 1", `start: "10:00", end: "12:00", minTargets: 5`, "between 1 and maxTargets 4"),
	)

	DescribeTable("holds at the site's time, ahead by the lead",
		func(local string, lead time.Duration, holds bool) {
			s := config.Schedule{Weekday: "wednesday", Start: "15:00", End: "19:00"}
			at, err := time.Parse("2006-01-02 15:04", local)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Active(at, lead)).To(Equal(holds))
		},
		Entry("before", "2026-12-02 14:56", 3*time.Minute, false),
		Entry("within the lead", "2026-12-02 14:57", 3*time.Minute, true),
		Entry("at the end", "2026-12-02 19:00", 3*time.Minute, false),
		Entry("on another day", "2026-12-03 16:00", 3*time.Minute, false),
		Entry("from the evening before", "2026-12-01 23:00", 17*time.Hour, true),
	)
})
