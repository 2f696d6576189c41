package main

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

const (
	uploadClients  = 6
	uploadBytes    = 30 << 20 // of 32 MB that max-body-bytes allows
	smallClients   = 12
	uploadsFor     = 30 * time.Second
	memoryInterval = 5 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
	minEnds        = 3 // of the processes of a machine by themselves in the day
	minMachines    = 2 // on which they end
)

func init() { cases["uploads"] = runUploads }

// runUploads plays clients that send requests with small bodies beside some that send large ones,
// which the limits of the config allow. The platform kills a process that exceeds its memory.
func runUploads(e *env) (breaks []string, err error) {
	if err := e.startBatch(plainRoute("idempotent")); err != nil {
		return nil, err
	}
	killed := make([]atomic.Int64, len(e.instances))
	for i, in := range e.instances {
		go in.watchMemory(&killed[i])
	}
	small := e.startLoad(loadConfig{clients: smallClients, path: plainPrefix, budget: 2 * time.Second, retries: 1, body: 600, idempotent: true})
	large := loadConfig{clients: uploadClients, path: plainPrefix, budget: 2 * time.Second, retries: 1, body: 600, idempotent: true}
	if e.trouble {
		large.body = uploadBytes
	}
	uploads := e.startLoad(large)
	time.Sleep(uploadsFor)
	attempts := append(small.stop(), uploads.stop()...)
	statuses, lost := map[int]int{}, 0
	for _, a := range attempts {
		statuses[a.status]++
	}
	for _, a := range small.attempts {
		if a.status == 0 && a.endedAt.Sub(a.sentAt) < 2*time.Second {
			lost++
		}
	}
	var ends []int64
	machines := 0
	for i := range killed {
		n := killed[i].Load()
		ends = append(ends, n)
		if n >= minEnds {
			machines++
		}
	}
	e.rec.printf("attempts by status %v, ends over the memory by machine %v, small requests without an answer %d", statuses, ends, lost)
	if machines >= minMachines {
		breaks = append(breaks, fmt.Sprintf("Fault: processes were killed as they exceeded %d MB, by machine: %v", memoryMB, ends))
	}
	return breaks, nil
}

// watchMemory kills the process when it exceeds the memory of its machine, as the platform does, and
// starts it again, until the case ends.
func (in *instance) watchMemory(killed *atomic.Int64) {
	for {
		time.Sleep(memoryInterval)
		if mb := residentMB(in.pid()); mb > memoryMB {
			killed.Add(1)
			in.env.rec.printf("the platform kills %s, which uses %d MB of %d", in.name, mb, memoryMB)
			in.kill()
			time.Sleep(restartDelay)
			_ = in.start() // if it fails, the instance stays down
		}
	}
}

// residentMB returns the memory of a process, zero if it has ended.
func residentMB(pid int) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // empty if the process has ended
	for line := range strings.Lines(string(data)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}
