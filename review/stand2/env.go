package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

// env holds what a case runs: the platform, the instances and the record.
type env struct {
	trouble   bool // the case causes its disruption
	fenced    bool // require-fence
	binary    string
	dir       string
	keep      bool
	rec       *recorder
	store     *hostplatform.Store
	cloud     *hostplatform.Cloud
	storeAt   string
	cloudAt   string
	listeners []net.Listener
	instances []*instance
	engines   []*engineTarget
}

func newEnv(binary, record, keep string, trouble bool) (*env, error) {
	e := &env{trouble: trouble, fenced: true, binary: binary, store: hostplatform.NewStore(), cloud: hostplatform.NewCloud(), dir: keep, keep: keep != ""}
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	if keep == "" {
		dir, err := os.MkdirTemp("", "review-")
		if err != nil {
			return nil, err
		}
		e.dir = dir
	} else if err := os.MkdirAll(keep, 0o755); err != nil {
		return nil, err
	}
	rec, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	e.rec = rec
	if e.storeAt, err = e.serve(e.store); err != nil {
		return nil, err
	}
	e.cloudAt, err = e.serve(e.cloud)
	return e, err
}

// listen returns a listener on a free loopback port, which close closes.
func (e *env) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.listeners = append(e.listeners, l)
	return l, nil
}

func (e *env) serve(h http.Handler) (address string, err error) {
	l, err := e.listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }() // until the listener is closed
	return l.Addr().String(), nil
}

// close ends the instances and closes the listeners.
func (e *env) close() error {
	for _, in := range e.instances {
		in.end()
	}
	for _, l := range e.listeners {
		_ = l.Close()
	}
	if !e.keep {
		_ = os.RemoveAll(e.dir)
	}
	return e.rec.close()
}

// recorder writes the record file.
type recorder struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
	out     *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{started: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// printf writes a line with the time since the start in seconds.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.out, format, args...)
	fmt.Fprintln(r.out)
}

func (r *recorder) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.out.Flush(), r.file.Close())
}

// instance is a process of the service.
type instance struct {
	name         string
	front, ready string
	settings     string
	env          *env

	mu     sync.Mutex
	cmd    *exec.Cmd // nil: the process is not running
	exited chan struct{}
	ended  bool // it is not started again
}

// memoryMB is the memory of a machine, as the second site has it.
const memoryMB = 154

// settingsFormat has the values of the sites' settings.
const settingsFormat = `node = %q
role = "instance"
machine-class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = %q
region = "jm-south"
internal-ports = [%d, %d]
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
bootstrap = true
[zones]
kingston = "jm-south"
spanish-town = "jm-south"
portmore = "jm-south"
[listen]
front = %q
ready = %q
[limits]
cpu-share = 0.8
cores = 1
memory-mb = %d
max-fds = 8200
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 5.3
drain-ms = 2000
grace-s = 8
config-ms = 2000
require-fence = %t
lease-ms = 3000
thaw-ms = 300
window-s = 5
usage-late-s = 10
finish-s = 10
status-s = 120
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
record-bytes = 262144
call-bytes = 2097152
retention-s = 300
part-mb = 200
ttl-min-ms = 1000
[cloud]
address = %q
rate-per-s = 50.0
duties = ["usage"]
duty-per-s = 50.0
`

// newInstance writes the settings of an instance and starts it.
func (e *env) newInstance(zone string, storeAt string) (*instance, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	n := len(e.instances) + 1
	in := &instance{
		name: fmt.Sprintf("edge-%s-%d", zone, n), env: e,
		front: fmt.Sprintf("127.0.0.1:%d", ports[0]), ready: fmt.Sprintf("127.0.0.1:%d", ports[1]),
	}
	in.settings = filepath.Join(e.dir, in.name+".toml")
	text := fmt.Sprintf(settingsFormat, in.name, zone, ports[2], ports[3], in.front, in.ready, memoryMB, e.fenced, storeAt, e.cloudAt)
	if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	e.instances = append(e.instances, in)
	return in, in.start()
}

// firstPort is below the range that the system assigns to outgoing connections, so that none of
// them occupies the port of an instance that is down.
const firstPort, portCount = 14000, 14000

var nextPort = rand.IntN(portCount)

// freePorts returns free ports, of which the last two follow each other.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range portCount {
		nextPort += 2
		port := firstPort + nextPort%portCount
		if !canListen(port) || !canListen(port+1) {
			continue
		}
		ports = append(ports, port)
		if len(ports) == n-1 {
			return append(ports, port+1), nil
		}
	}
	return nil, errors.New("no free ports")
}

func canListen(port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// start starts the process, with the command of the deploy file.
func (in *instance) start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.ended {
		return errors.New("the case has ended")
	}
	logFile, err := os.OpenFile(filepath.Join(in.env.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }() // the process has its own copy
	cmd := exec.Command(in.env.binary, "hosted")
	cmd.Env = []string{"AMARANTHFOLD_CONFIG=" + in.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	in.cmd, in.exited = cmd, make(chan struct{})
	exited := in.exited
	in.env.rec.printf("instance %s started", in.name)
	go func() {
		err := cmd.Wait()
		in.env.rec.printf("instance %s ended: %v", in.name, err)
		close(exited)
	}()
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (in *instance) kill() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cmd == nil {
		return
	}
	_ = in.cmd.Process.Kill() // it may have ended
	<-in.exited
	in.cmd = nil
}

// end is kill without a further start.
func (in *instance) end() {
	in.mu.Lock()
	in.ended = true
	in.mu.Unlock()
	in.kill()
}

// pid returns the process id, zero if the process is not running.
func (in *instance) pid() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cmd == nil {
		return 0
	}
	return in.cmd.Process.Pid
}

// awaitReady waits until all instances are ready.
func (e *env) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(limit)
	for _, in := range e.instances {
		for !isReady(client, in) {
			if time.Now().After(deadline) {
				return fmt.Errorf("instance %s is not ready", in.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	e.rec.printf("all instances ready")
	return nil
}

func isReady(client *http.Client, in *instance) bool {
	res, err := client.Get("http://" + in.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
