package hosted_test

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// logged returns the log lines of all instances, those included that they have logged and not
// written yet.
func (d *deployment) logged() string {
	mark := fmt.Sprintf("read %d\n", d.logReads.Add(1))
	d.mu.Lock()
	outputs := slices.Clone(d.logOutputs)
	d.mu.Unlock()
	for _, o := range outputs {
		_, _ = o.Write([]byte(mark)) // it never fails
	}
	deadline := time.Now().Add(time.Second) // a full queue drops the mark
	for strings.Count(string(d.logs.Contents()), mark) < len(outputs) && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	return string(d.logs.Contents())
}
