//go:build !linux

package bench

import "net"

// segments returns 0: only Linux reports the segments of a connection.
func segments(net.Conn) uint64 { return 0 }
