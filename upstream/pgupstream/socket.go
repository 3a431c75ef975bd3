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

// socketUsable reports whether the server has neither closed the connection nor
// sent an ErrorResponse, as it does before it closes one. If the batch is not sent
// on a closed connection, it has certainly not run. Unread bytes on an encrypted
// connection can't be told from such an error, so the connection counts as closed.
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
