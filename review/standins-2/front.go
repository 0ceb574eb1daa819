package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// front is a server of a plain service that answers before it has read a long body. What it
// answers comes from one of the project's own stand-ins behind it. Its answers have no
// length and end with their connections.
type front struct {
	behind   string        // address of the stand-in
	work     time.Duration // from the first half of an answer to the second
	listener net.Listener

	mu      sync.Mutex
	conns   map[net.Conn]bool
	crashed bool
}

func newFront(work time.Duration) (*front, error) {
	l, err := (&net.ListenConfig{Control: networkSizes}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &front{work: work, listener: l, conns: make(map[net.Conn]bool)}, nil
}

// networkSizes gives the server's connections the segments of a network and a small
// window. Loopback has segments of 64 KiB, with which a sender's buffer holds megabytes.
func networkSizes(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = errors.Join(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 1460),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 8<<10),
		)
	})
	return errors.Join(err, failed)
}

func (f *front) address() string { return f.listener.Addr().String() }

func (f *front) serve() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.conns[c] = true
		f.mu.Unlock()
		go f.handle(c)
	}
}

// crash ends the server: all its connections are reset.
func (f *front) crash() (answers int) {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed = true
	for c := range f.conns {
		reset(c)
		answers++
	}
	return answers
}

func (f *front) handle(c net.Conn) {
	defer func() {
		_ = c.Close()
		f.mu.Lock()
		delete(f.conns, c)
		f.mu.Unlock()
	}()
	from := bufio.NewReaderSize(c, 4<<10)
	r, err := http.ReadRequest(from)
	if err != nil {
		return
	}
	response, body, err := f.ask(r)
	if err != nil {
		return
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", response.StatusCode, http.StatusText(response.StatusCode))
	response.Header.Del("Content-Length")
	response.Header.Set("Connection", "close")
	_ = response.Header.Write(&head)
	head.WriteString("\r\n")
	half := len(body) / 2
	if _, err := c.Write(append(head.Bytes(), body[:half]...)); err != nil {
		return
	}
	time.Sleep(f.work)
	if _, err := c.Write(body[half:]); err != nil {
		return
	}
	_ = c.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, r.Body) // reads on, and closes regularly
}

// ask has the stand-in behind run the request, without its body.
func (f *front) ask(r *http.Request) (*http.Response, []byte, error) {
	again, err := http.NewRequest(r.Method, "http://"+f.behind+r.RequestURI, nil)
	if err != nil {
		return nil, nil, err
	}
	again.Host, again.Header = r.Host, r.Header.Clone()
	again.Header.Del("Content-Length")
	response, err := http.DefaultTransport.RoundTrip(again)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}
