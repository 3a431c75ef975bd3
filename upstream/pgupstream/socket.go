package pgupstream

import (
	"net"
	"syscall"
)

// rawConn gives access to a socket's descriptor; nil if there is none.
func rawConn(socket net.Conn) syscall.RawConn {
	holder, ok := socket.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// socketUsable reports whether the server has neither closed the connection
// nor said goodbye on it. A batch that is not sent on a dead connection has
// certainly not run. Bytes that wait on an encrypted connection may be a goodbye,
// so that it counts as closed.
func socketUsable(raw syscall.RawConn, encrypted bool) bool {
	if raw == nil {
		return true
	}
	usable := true
	err := raw.Control(func(fd uintptr) {
		var first [1]byte
		n, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != nil {
			usable = err == syscall.EAGAIN || err == syscall.EINTR
			return
		}
		usable = n == 1 && first[0] != 'E' && !encrypted
	})
	return usable && err == nil
}
