// Package job folds the shared log of a deployment whose jobs of tasks, leases
// and usage windows are kept on a metadata store.
//
// The log totally orders records; every instance folds them with the same pure
// function. Whatever must be the same everywhere follows from the order alone:
// which submission of a job counts, the position of each result, who runs a job,
// who holds a lease, what a usage window is billed with. A record that comes
// second is void.
package job

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// Task is one request of a job.
type Task struct {
	ID         string            `cbor:"1,keyasint"`
	Path       string            `cbor:"2,keyasint"`
	Header     map[string]string `cbor:"3,keyasint"`
	Body       []byte            `cbor:"4,keyasint"`
	Group      string            `cbor:"5,keyasint"`
	MaxTokens  int64             `cbor:"6,keyasint"` // prompt and largest output
	LengthHint int64             `cbor:"7,keyasint"` // estimated output tokens; zero: none
}

// Submission is a job as its trainer sends it.
type Submission struct {
	Step         int64
	Model        string
	MinVersion   int64 // oldest weight version that may generate its results
	GroupsWanted int   // whole groups that the trainer waits for
	Tasks        []Task
}

// Location is where a run of records of the content topic is stored.
type Location struct {
	Partition int   `cbor:"1,keyasint"`
	Offset    int64 `cbor:"2,keyasint"`
	Records   int   `cbor:"3,keyasint"`
	Bytes     int   `cbor:"4,keyasint"` // of all its records
}

// Record is one record of the log. One of the pointers is set.
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
}

// Submitted accepts a job. The first one of an id counts.
type Submitted struct {
	Job           string     `cbor:"1,keyasint"`
	Account       string     `cbor:"2,keyasint"`
	Route         string     `cbor:"3,keyasint"`
	Host          string     `cbor:"4,keyasint"`
	Step          int64      `cbor:"5,keyasint"`
	Model         string     `cbor:"6,keyasint"`
	MinVersion    int64      `cbor:"7,keyasint"`
	GroupsWanted  int        `cbor:"8,keyasint"`
	Retention     int64      `cbor:"9,keyasint"` // milliseconds after which tasks may be given up
	MaxAttempts   int        `cbor:"10,keyasint"`
	SingleVersion bool       `cbor:"11,keyasint"`
	Tasks         []TaskRef  `cbor:"12,keyasint"`
	Content       []Location `cbor:"13,keyasint"` // of the tasks, in order
	Runner        string     `cbor:"14,keyasint"`
}

// TaskRef names a task.
type TaskRef struct {
	ID    string `cbor:"1,keyasint"`
	Group int    `cbor:"2,keyasint"` // number of the group within the job
}

// Claimed makes a runner responsible for a job. Term is one more than the term
// that it replaces; the first record of a term counts. An empty runner hands the
// job over to whoever claims it next.
type Claimed struct {
	Job    string `cbor:"1,keyasint"`
	Term   int64  `cbor:"2,keyasint"`
	Runner string `cbor:"3,keyasint"`
}

// Progress shows that a job's runner lives, and where it has stored the events
// of unfinished tasks.
type Progress struct {
	Job    string  `cbor:"1,keyasint"`
	Term   int64   `cbor:"2,keyasint"`
	Chunks []Chunk `cbor:"3,keyasint,omitempty"`
	Failed []int   `cbor:"4,keyasint,omitempty"` // tasks that a target answered with a server error
	// MaxSlotWait is how long a task has waited at most for a slot, in milliseconds.
	MaxSlotWait int64 `cbor:"5,keyasint,omitempty"`
}

// Chunk is a stored run of a task's events: numbers First to Last.
type Chunk struct {
	Task     int      `cbor:"1,keyasint"`
	First    int64    `cbor:"2,keyasint"`
	Last     int64    `cbor:"3,keyasint"`
	Versions []int64  `cbor:"4,keyasint"`
	Location Location `cbor:"5,keyasint"`
}

// Listed lists results of a job. The first listing of a task counts.
type Listed struct {
	Job     string   `cbor:"1,keyasint"`
	Results []Result `cbor:"2,keyasint"`
}

// Result is a task's result.
type Result struct {
	Task      int      `cbor:"1,keyasint"`
	Completed bool     `cbor:"2,keyasint"` // otherwise given up
	Versions  []int64  `cbor:"3,keyasint"`
	Location  Location `cbor:"4,keyasint"` // of the text; no records: empty
}

// Ended ends a job: nothing of it runs any more.
type Ended struct {
	Job string `cbor:"1,keyasint"`
}

// Lease claims, renews or releases a lease; see core/lease.
type Lease struct {
	ID         record.ID     `cbor:"1,keyasint"`
	Supersedes record.Offset `cbor:"2,keyasint"`
	Body       record.Lease  `cbor:"3,keyasint"`
}

// UsageCounted tells how many requests of each account the writer has seen begin in a
// window so far.
type UsageCounted struct {
	Window int64            `cbor:"1,keyasint"`
	Counts map[string]int64 `cbor:"2,keyasint"`
}

// UsageSealed fixes what a window is billed with. The first one of a window counts.
type UsageSealed struct {
	Window int64            `cbor:"1,keyasint"`
	Counts map[string]int64 `cbor:"2,keyasint"`
}

// UsageReported tells that the platform has accepted a window's report.
type UsageReported struct {
	Window int64 `cbor:"1,keyasint"`
}

// LoadOrdered announces that a target is being moved to a weight version.
type LoadOrdered struct {
	Target  string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	Version int64  `cbor:"3,keyasint"`
}

// InstanceStarted announces the writer's incarnation. Earlier ones of the instance have
// ended: what they held is free.
type InstanceStarted struct {
	Instance    string `cbor:"1,keyasint"`
	PeerAddress string `cbor:"2,keyasint"` // listener for other instances, IP and port
	StartedAt   int64  `cbor:"3,keyasint"` // start of the process, Unix milliseconds
}

// InstanceLeaving announces that the writer's process stops: no further jobs are given to it.
type InstanceLeaving struct{}

// Encode encodes a record.
func Encode(r Record) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return data, nil
}

// Decode decodes a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode record of %d bytes: %w", len(data), err)
	}
	return r, nil
}

// EncodeTasks packs tasks into records of about limit bytes at most; a task that
// is larger has a record of its own.
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

// Bytes that the encoding adds, at most.
const (
	taskOverhead   = 64
	headerOverhead = 10
)

// DecodeTasks decodes one record of tasks.
func DecodeTasks(data []byte) ([]Task, error) {
	var tasks []Task
	if err := cbor.Unmarshal(data, &tasks); err != nil {
		return nil, fmt.Errorf("decode tasks: %w", err)
	}
	return tasks, nil
}
