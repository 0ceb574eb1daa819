package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// path is a TCP proxy on the way of one instance to one server.
type path struct {
	to       string
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
	cut   bool
}

func newPath(to string) (*path, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &path{to: to, listener: l, conns: make(map[net.Conn]bool)}
	go p.serve()
	return p, nil
}

func (p *path) address() string { return p.listener.Addr().String() }

func (p *path) serve() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.to)
		if err != nil {
			reset(from)
			continue
		}
		p.mu.Lock()
		p.conns[from], p.conns[to] = true, true
		cut := p.cut
		p.mu.Unlock()
		if cut {
			reset(from)
			reset(to)
			continue
		}
		go p.copy(from, to)
		go p.copy(to, from)
	}
}

// copy copies one direction; the end of either side is that of the other, a reset too.
func (p *path) copy(to, from net.Conn) {
	_, err := io.Copy(to, from)
	if err != nil {
		reset(to)
		reset(from)
	} else if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, from)
}

// refuse cuts the path: open connections are reset, and new ones refused.
func (p *path) refuse() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = true
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// storeFront gives an instance its own way to the store, in whose answers addresses are
// replaced.
func storeFront(store *emulator.Store, replaced map[string]string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	front := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		store.ServeHTTP(answer, r)
		body := answer.Body.Bytes()
		for from, to := range replaced {
			body = bytes.ReplaceAll(body, []byte(strconv.Quote(from)), []byte(strconv.Quote(to)))
		}
		for name, values := range answer.Result().Header {
			if name != "Content-Length" {
				w.Header()[name] = values
			}
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(answer.Code)
		_, _ = w.Write(body)
	})
	go func() { _ = (&http.Server{Handler: front}).Serve(l) }()
	return l.Addr().String(), nil
}
