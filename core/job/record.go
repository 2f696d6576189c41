// Package job defines the records in the log of a hosted deployment, one that runs on a
// platform, and the state after applying them: jobs of tasks, leases and usage windows.
//
// The log totally orders the records, and every instance applies them with the same pure
// function. What all instances must agree on therefore depends on the order alone: which
// submission of a job is accepted, the position of each result, the runner of a job (the
// instance that runs its tasks), the holder of a lease, the billed counts of a usage window.
// Of conflicting records the first is accepted and later ones are rejected.
//
// The package has no clock and no I/O. The caller, called the reader here, reads the log and
// passes in each record with its offset and the time of the read. Times by the reader's clock
// differ between instances.
//
// The log holds no tasks and outputs. They are stored as content records in a topic of their
// own, the content topic, and the records of the log contain their locations.
package job

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthfold/amaranthfold/core/poison"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// Task is one request of a job.
type Task struct {
	ID         string            `cbor:"1,keyasint"`
	Path       string            `cbor:"2,keyasint"`
	Header     map[string]string `cbor:"3,keyasint"`
	Body       []byte            `cbor:"4,keyasint"`
	Group      string            `cbor:"5,keyasint"`
	MaxTokens  int64             `cbor:"6,keyasint"` // prompt and largest possible output
	LengthHint int64             `cbor:"7,keyasint"` // estimated output tokens; zero: none
	Scorer     *ScoreRequest     `cbor:"8,keyasint,omitempty"`
}

// ScoreRequest is the request that returns the score of a task's complete output. A task
// that has one is completed only with its score.
type ScoreRequest struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"` // with Path selects the route
	Path string `cbor:"3,keyasint"`
	Body []byte `cbor:"4,keyasint"`
}

// Submission is a job as its trainer submits it.
type Submission struct {
	Step         int64
	Model        string
	MinVersion   int64 // oldest weight version that may generate its results
	GroupsWanted int   // number of complete groups that the trainer waits for
	Tasks        []Task
}

// TaskIDs returns the ids of the tasks, in order.
func (s *Submission) TaskIDs() []string {
	ids := make([]string, len(s.Tasks))
	for i := range s.Tasks {
		ids[i] = s.Tasks[i].ID
	}
	return ids
}

// Location is a contiguous range of content records in one partition of the content topic.
type Location struct {
	Partition int   `cbor:"1,keyasint"`
	Offset    int64 `cbor:"2,keyasint"`
	Records   int   `cbor:"3,keyasint"`
	Bytes     int   `cbor:"4,keyasint"` // of all its records
}

// Record is one record of the log. Exactly one of the pointers is set: it is the body.
type Record struct {
	Writer string `cbor:"1,keyasint"` // instance and incarnation
	At     int64  `cbor:"2,keyasint"` // writer's wall clock, Unix milliseconds

	Submitted       *Submitted       `cbor:"3,keyasint,omitempty"`
	Claimed         *Claimed         `cbor:"4,keyasint,omitempty"`
	Progress        *Progress        `cbor:"5,keyasint,omitempty"`
	Listed          *Listed          `cbor:"6,keyasint,omitempty"`
	Ended           *Ended           `cbor:"7,keyasint,omitempty"`
	Lease           *Lease           `cbor:"8,keyasint,omitempty"`
	UsageCounted    *UsageCounted    `cbor:"9,keyasint,omitempty"`
	UsageSealed     *UsageSealed     `cbor:"10,keyasint,omitempty"`
	UsageReported   *UsageReported   `cbor:"11,keyasint,omitempty"`
	LoadOrdered     *LoadOrdered     `cbor:"12,keyasint,omitempty"`
	InstanceStarted *InstanceStarted `cbor:"13,keyasint,omitempty"`
	InstanceLeaving *InstanceLeaving `cbor:"14,keyasint,omitempty"`
	StreamStarted   *StreamStarted   `cbor:"15,keyasint,omitempty"`
	TargetCrashed   *TargetCrashed   `cbor:"16,keyasint,omitempty"`
	SuspectServed   *SuspectServed   `cbor:"17,keyasint,omitempty"`
	Condemned       *Condemned       `cbor:"18,keyasint,omitempty"`
	KnownInstances  *KnownInstances  `cbor:"19,keyasint,omitempty"`
	JobsRequested   *JobsRequested   `cbor:"20,keyasint,omitempty"`
	Restated        *Restated        `cbor:"21,keyasint,omitempty"`
}

// Submitted submits a job. The first one of a job's id is accepted, later ones are rejected.
type Submitted struct {
	Job           string     `cbor:"1,keyasint"`
	Account       string     `cbor:"2,keyasint"`
	Route         string     `cbor:"3,keyasint"`
	Host          string     `cbor:"4,keyasint"`
	Step          int64      `cbor:"5,keyasint"`
	Model         string     `cbor:"6,keyasint"`
	MinVersion    int64      `cbor:"7,keyasint"`
	GroupsWanted  int        `cbor:"8,keyasint"`
	Retention     int64      `cbor:"9,keyasint"` // milliseconds until tasks may be given up
	MaxAttempts   int        `cbor:"10,keyasint"`
	SingleVersion bool       `cbor:"11,keyasint"`
	Tasks         []TaskRef  `cbor:"12,keyasint"`
	Content       []Location `cbor:"13,keyasint"` // content records of the tasks, in order
	Runner        string     `cbor:"14,keyasint"`
	// Configuration is the version that has the route, zero in records of earlier builds.
	Configuration int64 `cbor:"15,keyasint,omitempty"`
	// ReadTo is the last record that the writer had read, as in lease records. It knows each job
	// that was submitted up to there and may be submitted again: there was none of this id. Zero, as
	// in records of earlier builds: this is not stated.
	ReadTo record.Offset `cbor:"16,keyasint,omitempty"`
}

// TaskRef identifies a task of a job.
type TaskRef struct {
	ID    string `cbor:"1,keyasint"`
	Group int    `cbor:"2,keyasint"` // index of the group in the job
}

// Claimed makes an instance the runner of a job. Term is one more than the job's current
// term; the first record of a term is accepted. An empty runner releases the job for
// handover: any instance may claim it.
type Claimed struct {
	Job    string `cbor:"1,keyasint"`
	Term   int64  `cbor:"2,keyasint"`
	Runner string `cbor:"3,keyasint"`
}

// Progress is a heartbeat of a job's runner. It also contains the locations of the stored
// events of unfinished tasks. State accepts it from any writer. A Term after the job's current one
// is that of a claim which was not read: the writer is the runner then.
type Progress struct {
	Job    string  `cbor:"1,keyasint"`
	Term   int64   `cbor:"2,keyasint"`
	Chunks []Chunk `cbor:"3,keyasint,omitempty"`
	Failed []int   `cbor:"4,keyasint,omitempty"` // tasks whose target responded with a server error
	// MaxSlotWait is the longest current wait of a task of the runner for a free slot, in
	// milliseconds.
	MaxSlotWait int64 `cbor:"5,keyasint,omitempty"`
	// Unscored contains the outputs that became complete and wait for their scores.
	Unscored []CompleteOutput `cbor:"6,keyasint,omitempty"`
	// ScoreFailures contains the server errors of score calls since the last record.
	ScoreFailures []ScoreFailure `cbor:"7,keyasint,omitempty"`
}

// CompleteOutput is the complete output of a task, stored in the content topic. Versions are
// the weight versions that generated it, in ascending order.
type CompleteOutput struct {
	Task     int      `cbor:"1,keyasint"`
	Versions []int64  `cbor:"2,keyasint"`
	Location Location `cbor:"3,keyasint"`
}

// ScoreFailure counts server errors of the score calls of a task.
type ScoreFailure struct {
	Task  int `cbor:"1,keyasint"`
	Count int `cbor:"2,keyasint"`
}

// Chunk is a contiguous range of a task's output events that is stored in the content topic:
// the numbers First to Last, counted from 1. Versions are the weight versions that generated
// them, in ascending order. Events of different software versions do not fit together.
type Chunk struct {
	Task     int      `cbor:"1,keyasint"`
	First    int64    `cbor:"2,keyasint"`
	Last     int64    `cbor:"3,keyasint"`
	Versions []int64  `cbor:"4,keyasint"`
	Location Location `cbor:"5,keyasint"`
	Software string   `cbor:"6,keyasint,omitempty"` // version of the target's program
	// After is the location of the chunk that the events go on after: the writer has stored it
	// before this one, or has loaded it. nil: the events begin with the first one. Key 7 was used by
	// earlier builds.
	After   *Location `cbor:"8,keyasint,omitempty"`
	Service string    `cbor:"9,keyasint,omitempty"` // of the target; empty in records of earlier builds

	writer string // of the record; set when it is applied
}

// Listed contains results of a job's tasks. The first result of a task is accepted, later ones
// are ignored.
type Listed struct {
	Job     string   `cbor:"1,keyasint"`
	Results []Result `cbor:"2,keyasint"`
}

// Result is the final state of a task: completed, or given up by its runner. Versions are the
// weight versions that generated its output.
type Result struct {
	Task      int      `cbor:"1,keyasint"`
	Completed bool     `cbor:"2,keyasint"` // false: given up; the output may be partial
	Versions  []int64  `cbor:"3,keyasint"`
	Location  Location `cbor:"4,keyasint"` // of the output; no records: the output is empty
	Score     string   `cbor:"5,keyasint,omitempty"`
}

// Ended ends a job: none of its tasks runs any more, also those without a result.
type Ended struct {
	Job string `cbor:"1,keyasint"`
}

// UsageCounted reports how many requests of each account have started at the writer in a
// window so far. It replaces the writer's earlier counts of the window.
type UsageCounted struct {
	Window int64            `cbor:"1,keyasint"`
	Counts map[string]int64 `cbor:"2,keyasint"`
}

// UsageSealed fixes the billed counts of a window: later counts do not change the bill. The
// first seal of a window is accepted.
type UsageSealed struct {
	Window int64            `cbor:"1,keyasint"`
	Counts map[string]int64 `cbor:"2,keyasint"`
}

// UsageReported records that the platform has accepted a window's report.
type UsageReported struct {
	Window int64 `cbor:"1,keyasint"`
}

// LoadOrdered announces that a target is ordered to load a weight version.
type LoadOrdered struct {
	Target  string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	Version int64  `cbor:"3,keyasint"`
}

// InstanceStarted announces the writer's incarnation. Earlier incarnations of the instance
// have ended: the jobs and leases that they held are released.
type InstanceStarted struct {
	Instance    string `cbor:"1,keyasint"`
	PeerAddress string `cbor:"2,keyasint"` // listener for other instances, IP and port
	StartedAt   int64  `cbor:"3,keyasint"` // start of the process, Unix milliseconds
	// KeyFingerprint is that of the key with which the process proves its identity to other
	// instances. Builds without such a key leave it empty.
	KeyFingerprint string `cbor:"4,keyasint,omitempty"`
	// Asks is set by a writer that may not have read the announcements of others, as the log does
	// not keep them: it asks for KnownInstances.
	Asks bool `cbor:"5,keyasint,omitempty"`
	// ReadTo is the last record that the writer had read, as in lease records; zero: none, or an earlier
	// build. It has started after an incarnation whose latest announcement it had read.
	ReadTo record.Offset `cbor:"6,keyasint,omitempty"`
	// KeepsVersion is set by builds whose runs never mix weight versions in a result of a job that
	// allows one.
	KeepsVersion bool `cbor:"7,keyasint,omitempty"`
}

// StreamStarted records which software version of which service began a caller's stream. The first
// one of a request is accepted.
type StreamStarted struct {
	Request  string `cbor:"1,keyasint"`           // of the caller's attempt that brought the first event
	Software string `cbor:"2,keyasint"`           // version of the target's program
	Service  string `cbor:"3,keyasint,omitempty"` // of the target; empty in records of earlier builds
}

// TargetCrashed reports that a target crashed while it ran requests of the writer's callers;
// see core/poison. State does not use it, nor the two records after it.
type TargetCrashed struct {
	Target    string          `cbor:"1,keyasint"`
	StartedAt int64           `cbor:"2,keyasint"` // of the target's process, Unix milliseconds
	Requests  []poison.Digest `cbor:"3,keyasint"`
}

// SuspectServed reports that a target has served a request under which targets had crashed.
type SuspectServed struct {
	Request poison.Digest `cbor:"1,keyasint"`
}

// Condemned repeats which requests crash their targets, for instances that start when the
// records of the crashes are no longer kept.
type Condemned struct {
	Requests []CondemnedRequest `cbor:"1,keyasint"`
}

// CondemnedRequest is a request that crashes its targets.
type CondemnedRequest struct {
	Digest         poison.Digest `cbor:"1,keyasint"`
	SinceLastCrash int64         `cbor:"2,keyasint"` // milliseconds
}

// InstanceLeaving announces that the writer's process is stopping: it gets no further jobs.
type InstanceLeaving struct{}

// Encode encodes a record as CBOR.
func Encode(r Record) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return data, nil
}

// Decode decodes a record that Encode has encoded.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode record of %d bytes: %w", len(data), err)
	}
	return r, nil
}

// EncodeTasks encodes tasks as content records of at most about limit bytes each, in order. A
// task that is larger gets a record of its own.
func EncodeTasks(tasks []Task, limit int) ([][]byte, error) {
	var records [][]byte
	for len(tasks) > 0 {
		n, size := 0, 0
		for n < len(tasks) {
			t := &tasks[n]
			size += len(t.Body) + len(t.Path) + len(t.ID) + len(t.Group) + taskOverhead
			for k, v := range t.Header {
				size += len(k) + len(v) + headerOverhead
			}
			if n > 0 && size > limit {
				break
			}
			n++
		}
		data, err := cbor.Marshal(tasks[:n])
		if err != nil {
			return nil, fmt.Errorf("encode tasks: %w", err)
		}
		records, tasks = append(records, data), tasks[n:]
	}
	return records, nil
}

// Maximum number of bytes that the encoding adds to a task and to a header field.
const (
	taskOverhead   = 64
	headerOverhead = 10
)

// DecodeTasks decodes the tasks of one record that EncodeTasks has returned.
func DecodeTasks(data []byte) ([]Task, error) {
	var tasks []Task
	if err := cbor.Unmarshal(data, &tasks); err != nil {
		return nil, fmt.Errorf("decode tasks: %w", err)
	}
	return tasks, nil
}
