package bench

import (
	"encoding/binary"
	"net"
	"syscall"
	"unsafe"
)

// Offsets of tcpi_segs_out and tcpi_segs_in in the kernel's struct tcp_info.
const (
	segsOutOffset = 136
	segsInOffset  = 140
	tcpInfoBytes  = 144
)

// segments returns the TCP segments that a connection has sent and received, or
// 0 if the kernel does not report them.
func segments(conn net.Conn) uint64 {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var info [tcpInfoBytes]byte
	size := uint32(len(info))
	err = raw.Control(func(fd uintptr) {
		_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info[0])), uintptr(unsafe.Pointer(&size)), 0)
		if errno != 0 {
			size = 0
		}
	})
	if err != nil || size < tcpInfoBytes {
		return 0
	}
	return uint64(binary.NativeEndian.Uint32(info[segsOutOffset:])) + uint64(binary.NativeEndian.Uint32(info[segsInOffset:]))
}
