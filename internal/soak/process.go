package soak

import (
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

// process is one instance, as a process of its own.
type process struct {
	name     string
	binary   string
	settings string
	logPath  string
	front    string
	health   string
	store    *faultProxy

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{} // closed when the current process has ended
}

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
lease-ms = 3000
window-s = 2
usage-late-s = 6
status-s = 120
require-fence = true
[platform]
address = %q
parts = %d
record-bytes = 262144
call-bytes = 2097152
retention-s = 300
[cloud]
address = %q
duties = ["usage"]
`

func newProcess(cfg Config, index int, store *faultProxy, cloud string) (*process, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	p := &process{
		name: fmt.Sprintf("n%d", index), binary: cfg.Binary, store: store,
		front:  fmt.Sprintf("127.0.0.1:%d", ports[0]),
		health: fmt.Sprintf("127.0.0.1:%d", ports[1]),
	}
	p.settings = filepath.Join(cfg.Dir, p.name+".toml")
	p.logPath = filepath.Join(cfg.Dir, p.name+".log")
	text := fmt.Sprintf(settingsFormat, p.name, ports[2], ports[2]+1, p.front, p.health, store.address(), logPartitions, cloud)
	return p, writeFile(p.settings, text)
}

const (
	// firstPort and portSpan lie below the ports that systems give to outgoing
	// connections, so that none of these takes a port while its process is down.
	firstPort = 12000
	portCount = 16000
	// portsPerRun keeps the ranges of soaks that run side by side apart, mostly.
	portsPerRun = 97
)

// nextPort is where the search for free ports goes on.
var nextPort atomic.Int64

// freePorts returns ports that are free now, each with a free neighbour above it.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range portCount {
		port := firstPort + int(nextPort.Add(2)+int64(os.Getpid()*portsPerRun))%portCount
		if canListen(port) && canListen(port+1) {
			ports = append(ports, port)
		}
		if len(ports) == n {
			return ports, nil
		}
	}
	return nil, fmt.Errorf("no %d free ports from %d to %d", n, firstPort, firstPort+portCount)
}

func canListen(port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return false // taken
	}
	_ = l.Close() // the process listens there
	return true
}

// start runs the program, unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("log of %s: %w", p.name, err)
	}
	cmd := exec.Command(p.binary, "hosted")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close() // nothing was written
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	go func(end chan struct{}) {
		_ = cmd.Wait()  // the way it ends is the soak's own doing
		_ = out.Close() // written by the process
		p.mu.Lock()
		p.cmd = nil
		p.mu.Unlock()
		close(end)
	}(p.exited)
	return nil
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(s syscall.Signal) (end <-chan struct{}) {
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

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	if end := p.signal(syscall.SIGKILL); end != nil {
		<-end
	}
}

var healthClient = &http.Client{Timeout: time.Second}

func (p *process) ready() bool {
	res, err := healthClient.Get("http://" + p.health + "/readiness")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}
