package soak

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// ownerOf returns the index of the instance whose process has opened the connection. On a system
// without /proc it is noOwner.
func (e *environment) ownerOf(client net.Conn) int {
	remote, isTCP := client.RemoteAddr().(*net.TCPAddr)
	if !isTCP {
		return noOwner
	}
	inode := e.sockets.inode(remote.Port)
	if inode == "" {
		return noOwner
	}
	for i, p := range e.instances {
		if p.hasSocket(inode) {
			return i
		}
	}
	return noOwner
}

// socketTable is the system's list of sockets. On a machine with many connections a read takes tens
// of milliseconds, so lookups that wait at the same time share one.
type socketTable struct {
	mu     sync.Mutex // held while the list is read
	readAt time.Time  // start of the latest read
	inodes map[string]string
}

// inode returns the inode of the socket on loopback with the local port, empty if there is none.
func (t *socketTable) inode(port int) string {
	called := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.readAt.After(called) {
		t.readAt = time.Now()
		t.inodes = readSockets()
	}
	return t.inodes[fmt.Sprintf("0100007F:%04X", port)]
}

// readSockets returns the inodes of the TCP sockets by local address, as the system writes it.
func readSockets() map[string]string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil // not Linux
	}
	inodes := map[string]string{}
	for line := range strings.Lines(string(table)) {
		if fields := strings.Fields(line); len(fields) > 9 {
			inodes[fields[1]] = fields[9]
		}
	}
	return inodes
}

// hasSocket reports whether the running process has the socket with the inode.
func (p *process) hasSocket(inode string) bool {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return false
	}
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", cmd.Process.Pid))
	if err != nil {
		return false // the pattern is valid
	}
	for _, d := range descriptors {
		if link, err := os.Readlink(d); err == nil && link == "socket:["+inode+"]" { // else it was closed meanwhile
			return true
		}
	}
	return false
}
