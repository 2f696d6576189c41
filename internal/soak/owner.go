package soak

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// ownerOf returns the index of the instance whose process has opened the connection. On a system
// without /proc it is noOwner.
func (e *environment) ownerOf(client net.Conn) int {
	remote, isTCP := client.RemoteAddr().(*net.TCPAddr)
	if !isTCP {
		return noOwner
	}
	inode := socketInode(remote.Port)
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

// socketInode returns the inode of the socket on loopback with the local port, empty if there is
// none.
func socketInode(port int) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "" // not Linux
	}
	local := fmt.Sprintf("0100007F:%04X", port)
	for line := range strings.Lines(string(table)) {
		if fields := strings.Fields(line); len(fields) > 9 && fields[1] == local {
			return fields[9]
		}
	}
	return ""
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
