package job_test

import (
	"math"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// FuzzApply applies arbitrary bytes after the submission of two jobs, and reads and prunes the
// state. It guards against a record that decodes but makes no sense and ends every instance
// that reads it.
func FuzzApply(f *testing.F) {
	for _, r := range senselessRecords() {
		data, err := job.Encode(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("noise"))
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, data []byte) {
		r, err := job.Decode(data)
		if err != nil {
			return // readers skip the record
		}
		s := job.NewState()
		for i, earlier := range []job.Record{submitted("j", "n1", "x", "y"), submitted("k", "n1", "y"), r, r, submitted("l", "n1", "x", "y")} {
			s.Apply(int64(i), time.Duration(i)*time.Second, earlier)
		}
		s.SkipTo(6, math.MinInt64, math.MaxInt64)
		for i, later := range []job.Record{r, submitted("n", "n1", "z"), r} {
			s.Apply(int64(6+i), time.Minute, later)
		}
		for _, j := range s.Jobs {
			j.OpenDuration(time.Minute)
			for task := range j.Tasks {
				s.EarlierResult(j, task)
				j.Status[task].ContiguousChunks(j.MinVersion)
			}
		}
		for _, w := range s.Windows {
			w.Total()
		}
		s.Prune(math.MaxInt64, time.Minute, math.MaxInt64)
		s.Prune(math.MinInt64, time.Minute, math.MinInt64)
	})
}

// senselessRecords returns records that decode but that no instance writes.
func senselessRecords() []job.Record {
	location := job.Location{Partition: -1, Offset: -1, Records: -1, Bytes: math.MinInt}
	records := []job.Record{
		{},
		{Submitted: &job.Submitted{}},
		{At: math.MinInt64, Submitted: &job.Submitted{Job: "m", MaxAttempts: -1, GroupsWanted: -1, Content: []job.Location{location}, Tasks: []job.TaskRef{{ID: "x", Group: -7}, {ID: "x", Group: math.MaxInt}}}},
		{Claimed: &job.Claimed{Job: "none", Term: -1}},
		{Claimed: &job.Claimed{Job: "j", Term: math.MinInt64}},
		{Progress: &job.Progress{Job: "none", Failed: []int{0}}},
		{Listed: &job.Listed{Job: "none", Results: []job.Result{{}}}},
		{Ended: &job.Ended{}},
		{Lease: &job.Lease{Supersedes: record.Offset(math.MaxUint32)}},
		{Lease: &job.Lease{Term: math.MaxInt64, ReadTo: math.MaxInt64}},
		{UsageCounted: &job.UsageCounted{Window: math.MinInt64}},
		{UsageSealed: &job.UsageSealed{Window: math.MaxInt64, Counts: map[string]int64{"": math.MinInt64}}},
		{UsageReported: &job.UsageReported{Window: -1}},
		{LoadOrdered: &job.LoadOrdered{Version: math.MinInt64}},
		{InstanceStarted: &job.InstanceStarted{StartedAt: math.MinInt64}},
		{KnownInstances: &job.KnownInstances{Instances: []job.KnownInstance{{}, {Writer: "x", Offset: math.MaxInt64, SinceAnnounced: math.MaxInt64}, {Writer: "x", Offset: math.MinInt64, SinceAnnounced: -1}}}},
		{InstanceLeaving: &job.InstanceLeaving{}, Claimed: &job.Claimed{}},
		{StreamStarted: &job.StreamStarted{}},
		{JobsRequested: &job.JobsRequested{Jobs: []string{"", "j", "none"}}},
		{Restated: &job.Restated{ReadTo: math.MaxInt64}},
	}
	for _, task := range []int{-1, 2, math.MinInt, math.MaxInt} {
		records = append(records,
			job.Record{Progress: &job.Progress{
				Job: "j", Term: -1, MaxSlotWait: math.MinInt64, Failed: []int{task}, Chunks: []job.Chunk{{Task: task}, {Task: 0, First: 1, Last: -1}, {Task: 0, Last: math.MaxInt64, Location: location}},
				Unscored: []job.CompleteOutput{{Task: task, Location: location}, {Task: 0}}, ScoreFailures: []job.ScoreFailure{{Task: task, Count: math.MinInt}},
			}},
			job.Record{Listed: &job.Listed{Job: "j", Results: []job.Result{{Task: task}, {Task: 1}, {Task: 1}}}},
			job.Record{Restated: &job.Restated{
				Submitted: job.Submitted{Job: "j", Tasks: []job.TaskRef{{}, {}}}, Term: -1, ReadTo: math.MaxInt64, Results: []job.Result{{Task: task}, {Task: task}},
				Tasks: []job.RestatedTask{{Task: task}, {Task: 1, Failures: -1, Chunks: []job.Chunk{{Task: task, First: 1, Last: math.MinInt64}}}},
			}},
		)
	}
	return records
}
