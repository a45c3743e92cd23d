package soak

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// entryOf returns the node of the entry that has opened a connection on this machine, or
// "" if none has. Only entries open sessions. The entry is found by the socket and not by
// an address of its own for each target: an entry may get addresses from another one that
// relays its calls to the store.
func (f *testFleet) entryOf(client net.Conn) string {
	inode := socketInode(client.RemoteAddr(), client.LocalAddr())
	for _, p := range f.entries {
		if inode != "" && p.hasSocket(inode) {
			return p.node
		}
	}
	return ""
}

// Columns of /proc/net/tcp.
const (
	localColumn, remoteColumn = 1, 2
	inodeColumn               = 9
)

// socketInode returns the inode of the TCP socket with these addresses, or "" if there is
// none.
func socketInode(local, remote net.Addr) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	localHex, remoteHex := tableAddress(local), tableAddress(remote)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > inodeColumn && fields[localColumn] == localHex && fields[remoteColumn] == remoteHex {
			return fields[inodeColumn]
		}
	}
	return ""
}

// tableAddress returns an IPv4 address as /proc/net/tcp has it on little-endian machines.
func tableAddress(a net.Addr) string {
	tcp, ok := a.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

// hasSocket reports whether the process has a socket open.
func (p *process) hasSocket(inode string) bool {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return false
	}
	dir := fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		return false // it has ended
	}
	for _, file := range files {
		if target, err := os.Readlink(filepath.Join(dir, file.Name())); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
