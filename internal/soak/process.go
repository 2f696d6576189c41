package soak

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/amaranthfold/amaranthfold/platform"
)

// process is one instance, run as an operating system process. Its addresses and settings
// stay the same when it is restarted.
type process struct {
	name          string
	binary        string
	settingsPath  string
	logPath       string
	callerAddress string
	readyAddress  string
	peersAddress  string      // listener between instances
	logProxy      *faultProxy // between this instance and the log

	mu     sync.Mutex
	cmd    *exec.Cmd     // nil while the process is down
	exited chan struct{} // closed when the current process has exited
}

const leaseTerm = 3 * time.Second

// settingsFormat is the template of an instance's settings file.
const settingsFormat = `node = %q
zone = "a"
ip = "127.0.0.1"
heartbeat-ms = 300
internal-ports = [%d, %d]
[listen]
front = %q
ready = %q
[limits]
memory-mb = 256
max-fds = 4000
[bounds]
grace-s = 8
contact-ms = 3000
lease-ms = %d
window-s = 2
usage-late-s = 6
status-s = 120
require-fence = true
cold-overshoot = %g
cold-slack = %d
[platform]
address = %q
parts = %d
record-bytes = 262144
call-bytes = 2097152
reads-per-s = 2000
retention-s = %g
[cloud]
address = %q
duties = ["usage"]
`

// newProcess writes the settings of an instance to the run's folder. It does not start the
// instance.
func newProcess(cfg Config, index int, logProxy *faultProxy, cloudAddress string, history time.Duration) (*process, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	p := &process{
		name: fmt.Sprintf("n%d", index), binary: cmp.Or(cfg.EarlierBinary, cfg.Binary), logProxy: logProxy,
		callerAddress: fmt.Sprintf("127.0.0.1:%d", ports[0]),
		readyAddress:  fmt.Sprintf("127.0.0.1:%d", ports[1]),
		peersAddress:  fmt.Sprintf("127.0.0.1:%d", ports[2]+1),
	}
	p.settingsPath = filepath.Join(cfg.Dir, p.name+".toml")
	p.logPath = filepath.Join(cfg.Dir, p.name+".log")
	settings := fmt.Sprintf(settingsFormat, p.name, ports[2], ports[2]+1, p.callerAddress, p.readyAddress, leaseTerm.Milliseconds(), coldOvershoot, coldSlack, logProxy.address(), logPartitions, history.Seconds(), cloudAddress)
	return p, writeFile(p.settingsPath, settings)
}

const (
	// The portCount ports from firstPort on are below the range that operating systems
	// assign to outgoing connections. Otherwise such a connection could occupy the port
	// of a process that is down.
	firstPort = 12000
	portCount = 16000
	// portOffsetPerPID is multiplied by the process id to give the port at which the
	// search starts, so that concurrent soaks are unlikely to try the same ports.
	portOffsetPerPID = 97
)

// nextPortOffset is the offset of the port that freePorts tried last.
var nextPortOffset atomic.Int64

// freePorts returns n ports of which each is free now, as is the port after it. It fails
// if the range has fewer.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range portCount {
		port := firstPort + int(nextPortOffset.Add(2)+int64(os.Getpid()*portOffsetPerPID))%portCount
		if canListen(port) && canListen(port+1) {
			ports = append(ports, port)
		}
		if len(ports) == n {
			return ports, nil
		}
	}
	return nil, fmt.Errorf("fewer than %d free ports from %d to %d", n, firstPort, firstPort+portCount)
}

func canListen(port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return false // the port is in use
	}
	_ = l.Close() // frees the port for the process
	return true
}

// start starts the program unless it is running. The program's output is appended to the
// log file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("open the log of %s: %w", p.name, err)
	}
	cmd := exec.Command(p.binary, "hosted")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settingsPath)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		_ = logFile.Close() // nothing was written to it
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait()      // the exit status is ignored: the soak stops the processes itself
		_ = logFile.Close() // the process wrote to it, the soak did not
		p.mu.Lock()
		p.cmd = nil
		p.mu.Unlock()
		close(exited)
	}(p.exited)
	return nil
}

// signal sends a signal to the process and returns a channel that is closed when the
// process has exited, or nil if no process runs or the signal could not be sent.
func (p *process) signal(s syscall.Signal) (exited <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return p.exited
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	if exited := p.signal(syscall.SIGKILL); exited != nil {
		<-exited
	}
}

var readinessClient = &http.Client{Timeout: time.Second}

// ready reports whether the instance answers its readiness check with status 200.
func (p *process) ready() bool {
	res, err := readinessClient.Get("http://" + p.readyAddress + "/readiness")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}
