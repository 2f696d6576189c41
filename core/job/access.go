package job

import "slices"

// Caller is the sender of a request about a job.
type Caller struct {
	Account string // that has the request's key; empty: none has
	// Open is set if the configuration has no accounts, so that callers are not told apart.
	Open bool
}

// Identified reports whether the caller is one that the configuration allows where it asks for a key.
func (c Caller) Identified() bool { return c.Account != "" || c.Open }

// MayUse reports whether the caller may read and end the job. A job belongs to the account of its
// submission for good, whatever the routes become. One that was submitted without a key, through a
// public route or before there were accounts, belongs to everyone who has its id.
func (s *Submitted) MayUse(c Caller) bool {
	return s.Account == "" || c.Open || s.Account == c.Account
}

// IsRepeatedBy reports whether the caller's submission under the job's id, with the ids of its
// tasks in order, is the job's submission once more. Callers that are not told apart may have chosen the same id
// for different jobs.
func (s *Submitted) IsRepeatedBy(c Caller, tasks []string) bool {
	if s.Account != "" && s.Account == c.Account {
		return true
	}
	return s.MayUse(c) && slices.EqualFunc(s.Tasks, tasks, func(t TaskRef, id string) bool { return t.ID == id })
}
