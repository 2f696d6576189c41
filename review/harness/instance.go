package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// instance is one process of the system. It keeps its addresses and settings when it is restarted.
type instance struct {
	world               *world
	name, front, ready  string
	settingsPath, store string

	mu     sync.Mutex
	cmd    *exec.Cmd // nil: it is down
	exited chan struct{}
}

// The command of deploy/system.toml.
var instanceCommand = []string{"target/amaranthfold", "hosted"}

// settingsFormat is the template of a settings file, with the fields that DEPLOY.md names.
const settingsFormat = `node = %q
role = "instance"
machine-class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "a"
region = "r"
internal-ports = [%d, %d]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = %d
[zones]
a = "r"
[listen]
front = %q
ready = %q
[limits]
cpu-share = 0.8
cores = 1
memory-mb = 344
max-fds = 8200
link-mbps = 1000.0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 8
config-ms = 2000
require-fence = %t
lease-ms = %d
thaw-ms = 300
window-s = %d
usage-late-s = 10
recovery-s = 12
finish-s = 10
status-s = %d
cancel-ms = 3000
settle-ms = 1000
[platform]
address = %q
form = "log"
writes-per-s = 800
reads-per-s = 2000
parts = 12
append-ms = 2.0
partition-mb-s = 20.0
read-mb-s = 80.0
record-bytes = %d
call-bytes = 2097152
retention-s = %d
part-mb = 200
[cloud]
address = %q
duties = ["usage"]
duty-per-s = 50.0
`

// newInstance writes the settings of an instance. It does not start it.
func (w *world) newInstance(name string) (*instance, error) {
	store, err := w.serve(w.store.handlerFor(name))
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	in := &instance{
		world: w, name: name, store: store, settingsPath: w.path(name + ".toml"),
		front: fmt.Sprintf("127.0.0.1:%d", ports), ready: fmt.Sprintf("127.0.0.1:%d", ports+1),
	}
	settings := fmt.Sprintf(settingsFormat, name, ports+2, ports+3, heartbeatInterval.Milliseconds(), in.front, in.ready, w.fenced, leaseTime.Milliseconds(), usageWindowS,
		w.statusS, in.store, recordBytes, int(w.retention.Seconds()), w.cloud)
	return in, os.WriteFile(in.settingsPath, []byte(settings), 0o600)
}

// freePorts returns the first of n successive free ports, below those that the system assigns to
// outgoing connections.
func freePorts(n int) (int, error) {
	for range 1000 {
		first := 12000 + 4*rand.IntN(4000)
		if allFree(first, n) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("%w: no free ports", errCannotRun)
}

func allFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = l.Close() // frees the port for the instance
	}
	return true
}

// start starts the process.
func (in *instance) start() error {
	out, err := os.OpenFile(in.world.path(in.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(instanceCommand[0], instanceCommand[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AMARANTHFOLD_CONFIG=" + in.settingsPath}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close() // nothing was written
		return err
	}
	exited := make(chan struct{})
	in.mu.Lock()
	in.cmd, in.exited = cmd, exited
	in.mu.Unlock()
	in.world.printf("instance %s started", in.name)
	go func() {
		err := cmd.Wait()
		_ = out.Close() // the process wrote to it
		in.world.printf("instance %s ended: %v", in.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cmd != nil {
		in.world.printf("%v to instance %s", s, in.name)
		_ = in.cmd.Process.Signal(s) // it may have ended
	}
}

// kill ends the process and waits until it has ended.
func (in *instance) kill() {
	in.signal(syscall.SIGKILL)
	in.mu.Lock()
	exited := in.exited
	in.cmd = nil
	in.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

func (in *instance) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := client.Get("http://" + in.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = res.Body.Close() // only the status counts
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: %s is not ready", errCannotRun, in.name)
}

// logged returns the lines of the instance's log that contain the text.
func (in *instance) logged(text string) []string {
	data, err := os.ReadFile(in.world.path(in.name + ".log"))
	if err != nil {
		return nil
	}
	var lines []string
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}
