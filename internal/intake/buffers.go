package intake

import (
	"net"
	"syscall"
)

// setBuffers sets the size, in bytes, of the kernel's buffers of the connections that a
// listener will accept; 0 leaves them as they are. By default the kernel lets the buffers of
// each connection grow to megabytes, which count as memory of the process: they fill up where
// a client sends ahead, or does not read.
func setBuffers(listener net.Listener, bytes int) {
	tcp, ok := listener.(*net.TCPListener)
	if !ok || bytes == 0 {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return // it is closed
	}
	_ = raw.Control(func(fd uintptr) {
		// Without these options the connections work with buffers of the default size.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, bytes)
	})
}
