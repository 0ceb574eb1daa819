package ingress

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"net/textproto"
	"testing"
)

// bytesConn is a connection on which given bytes come, some at a time.
type bytesConn struct {
	net.Conn
	left  []byte
	piece int
}

func (c *bytesConn) Read(p []byte) (int, error) {
	n := copy(p[:min(len(p), c.piece)], c.left)
	c.left = c.left[n:]
	return n, nil
}

// FuzzHeadWatch: a head that says a length is never taken for one that does not,
// however it is cut up, whatever else it holds. Otherwise what stands behind the
// chunks of a request is read as another one.
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
		watch := &headWatch{Conn: &bytesConn{left: sent, piece: int(piece) + 1}}
		for buffer := make([]byte, 512); ; {
			if n, _ := watch.Read(buffer); n == 0 {
				break
			}
		}
		if _, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(sent))); err != nil {
			return // the library takes no request
		}
		// The request itself does not tell: its length is dropped if it comes in chunks.
		lines := textproto.NewReader(bufio.NewReader(bytes.NewReader(sent)))
		_, _ = lines.ReadLine()
		fields, _ := lines.ReadMIMEHeader()
		if _, says := fields["Content-Length"]; says && !watch.saysLength() {
			t.Errorf("a length was overlooked in %q", sent)
		}
	})
}
