package job

// ContiguousChunks returns the stored chunks from event 1 on without a gap, up to the first
// chunk with a version older than minVersion.
func (s *TaskStatus) ContiguousChunks(minVersion int64) []Chunk {
	var out []Chunk
	next := int64(1)
	for _, c := range s.Chunks {
		if c.First != next || len(c.Versions) == 0 || c.Versions[0] < minVersion {
			continue
		}
		out = append(out, c)
		next = c.Last + 1
	}
	return out
}

// Writer returns the instance and incarnation that has stored the chunk.
func (c *Chunk) Writer() string { return c.writer }

// IsLatestChunk reports whether the chunk, as its record states it, is the task's latest one.
func (s *TaskStatus) IsLatestChunk(c Chunk) bool {
	n := len(s.Chunks)
	return n > 0 && s.Chunks[n-1].Last == c.Last && s.Chunks[n-1].Location == c.Location
}

// appendChunk appends a chunk that goes on after the latest one. A chunk that starts with event 1
// replaces all stored ones; any other is ignored.
//
// Several outputs of one task may exist for a while, at two instances or at one that has lost the
// job and got it back. The numbers of their chunks may fit though a run of the one was not asked to
// go on after the events of the other. A chunk therefore names the one before it.
//
// Invariant: the chunks of a task are contiguous and of one software version of one service, and each was generated
// by runs that went on after the ones before it.
func (s *TaskStatus) appendChunk(c Chunk) {
	if c.First == 1 {
		s.Chunks = []Chunk{c}
		return
	}
	if len(s.Chunks) == 0 || c.After == nil {
		return
	}
	latest := &s.Chunks[len(s.Chunks)-1]
	sameService := c.Service == latest.Service || c.Service == "" || latest.Service == ""
	if *c.After == latest.Location && c.First == latest.Last+1 && c.Software == latest.Software && sameService {
		s.Chunks = append(s.Chunks[:len(s.Chunks):len(s.Chunks)], c) // append copies: later jobs share the old slice
	}
}

// inheritOutput marks a task as resubmitted if a previous job of the account has it, and
// copies that job's chunks and complete output of the task if the model and the route are
// the same.
func (s *State) inheritOutput(j *Job, task int) {
	latest, found := s.tasks[taskKey{j.Account, j.Tasks[task].ID}]
	if !found || s.Jobs[latest.job] == nil {
		return
	}
	previous := s.Jobs[latest.job]
	j.Status[task].Resubmitted = true
	if previous.Model != j.Model || previous.Route != j.Route {
		return
	}
	status := &previous.Status[latest.task]
	j.Status[task].Chunks = status.Chunks
	if status.Unscored != nil && j.AllowsVersions(status.Unscored.Versions) {
		j.Status[task].Unscored = &CompleteOutput{task, status.Unscored.Versions, status.Unscored.Location}
	}
}

// AllowsVersions reports whether the job accepts an output that these weight versions
// generated. versions is in ascending order.
func (s *Submitted) AllowsVersions(versions []int64) bool {
	return len(versions) > 0 && versions[0] >= s.MinVersion && (!s.SingleVersion || len(versions) == 1)
}

// AllowsResult reports whether a completed result of these weight versions may be listed.
func (s *Submitted) AllowsResult(versions []int64) bool {
	return !s.SingleVersion || len(versions) == 1
}

// EarlierResult returns a completed result of the task from another job of the same account,
// model and route.
func (s *State) EarlierResult(j *Job, task int) (Result, bool) {
	for _, other := range s.Jobs {
		if other == j || other.Account != j.Account || other.Model != j.Model || other.Route != j.Route {
			continue
		}
		i, ok := other.taskIndex[j.Tasks[task].ID]
		if !ok || !other.Status[i].Listed {
			continue
		}
		if result := other.Results[other.Status[i].Position]; result.Completed {
			return result, true
		}
	}
	return Result{}, false
}
