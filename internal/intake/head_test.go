package intake

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"net/textproto"
	"testing"
	"time"

	"github.com/coder/quartz"
)

// chunkedConn is a connection whose reads return the given bytes, at most piece of them at a time.
type chunkedConn struct {
	net.Conn
	left  []byte
	piece int
}

func (c *chunkedConn) SetReadDeadline(time.Time) error { return nil }

func (c *chunkedConn) Read(p []byte) (int, error) {
	n := copy(p[:min(len(p), c.piece)], c.left)
	c.left = c.left[n:]
	return n, nil
}

// FuzzHeadWatch checks that a Content-Length field in a head is never missed,
// however the head is split into reads and whatever else it contains. Otherwise the
// bytes after the chunks of a request could be parsed as another request.
func FuzzHeadWatch(f *testing.F) {
	for _, head := range []string{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\ncontent-length: 1\r\n\r\n",
		"POST / HTTP/1.1\nHost: h\ncOnTeNt-LeNgTh:3\nTransfer-Encoding: chunked\n\n0\r\n\r\n",
		"\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 3\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\nX: a\r\n Content-Length: 2\r\n\r\n",
	} {
		f.Add([]byte(head), uint8(1))
		f.Add([]byte(head), uint8(200))
	}
	f.Fuzz(func(t *testing.T, sent []byte, piece uint8) {
		l := NewLimiter(Options{Clock: quartz.NewReal(), Limits: func() Limits { return Limits{MaxHeadBytes: 64 << 10} }})
		conn := newConn(&chunkedConn{left: sent, piece: int(piece) + 1}, l)
		for buffer := make([]byte, 512); ; {
			if n, _ := conn.Read(buffer); n == 0 {
				break
			}
		}
		if _, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(sent))); err != nil {
			return // net/http rejects the request
		}
		// http.ReadRequest drops the length of a request in chunks, so the head is parsed separately.
		lines := textproto.NewReader(bufio.NewReader(bytes.NewReader(sent)))
		_, _ = lines.ReadLine()
		fields, _ := lines.ReadMIMEHeader()
		if _, says := fields["Content-Length"]; says && !conn.head.mayHaveLength() {
			t.Errorf("Content-Length was missed in %q", sent)
		}
	})
}
