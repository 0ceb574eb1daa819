package loopback

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
)

// Port keeps a port of the loopback interface for one server over its
// restarts.
//
// Without it the kernel may give the port of a crashed server to an outgoing
// connection. The restart then fails with "address already in use", which
// would look like a target that never comes back. The socket held here is
// bound and does not listen: connections to it are refused, the kernel does
// not give its port away, and a listener may be opened beside it.
type Port struct {
	addr netip.AddrPort

	mu sync.Mutex // guards fd
	fd int        // closed if negative
}

const noFile = -1

// ReservePort reserves a port that the kernel chooses.
func ReservePort() (*Port, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("loopback: socket: %w", err)
	}
	addr, err := bindLoopback(fd)
	if err != nil {
		_ = syscall.Close(fd)
		return nil, fmt.Errorf("loopback: reserve a port: %w", err)
	}
	return &Port{addr: addr, fd: fd}, nil
}

func bindLoopback(fd int) (netip.AddrPort, error) {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	// With this option on both, a listener may use the port of a socket that
	// is bound and doesn't listen. Go's listeners have it on.
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return netip.AddrPort{}, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: loopback.As4()}); err != nil {
		return netip.AddrPort{}, err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, err
	}
	inet, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		return netip.AddrPort{}, fmt.Errorf("bound to %T", name)
	}
	return netip.AddrPortFrom(loopback, uint16(inet.Port)), nil
}

// Addr returns the address (IP:port) to listen on.
func (p *Port) Addr() string { return p.addr.String() }

// Release gives the port back.
func (p *Port) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fd != noFile {
		_ = syscall.Close(p.fd)
		p.fd = noFile
	}
}
