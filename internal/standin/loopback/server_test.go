package loopback

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
)

func get(addr string) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// A target crashes; before it restarts, an outgoing connection takes its port
// as its local one, and the restart fails. The reserved port prevents it.
func TestCrashedServerKeepsItsPort(t *testing.T) {
	s, err := New(Options{Handler: http.NotFoundHandler()})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	for range 3 {
		// No connection before this one: the kernel would keep the port of its
		// own accord while the remains of one last.
		s.Crash()
		local, err := net.ResolveTCPAddr("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		dialer := net.Dialer{LocalAddr: local}
		if c, err := dialer.Dial("tcp", other.Addr().String()); err == nil {
			c.Close()
			t.Fatal("an outgoing connection took the port")
		}
		if err := get(s.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("crashed: %v", err)
		}
		if err := s.Restart(); err != nil {
			t.Fatal(err)
		}
	}
	if err := get(s.Addr()); err != nil {
		t.Fatal(err)
	}
	s.Close()
	if err := s.Restart(); !errors.Is(err, ErrClosed) {
		t.Fatalf("restart after Close: %v", err)
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	s, err := New(Options{Handler: http.NotFoundHandler(), MaxConns: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	first, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	if _, err := io.WriteString(first, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := first.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if err := get(s.Addr()); err == nil {
		t.Fatal("a connection over the bound was served")
	}
}
