package exchange

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// encodeHead returns the head of r as it is sent. It rejects a request that a target
// could parse as more than one request, or as a request with another body: the
// response to the surplus would then be taken for that of the next request. closes adds
// Connection: close.
func encodeHead(r Request, closes bool) ([]byte, error) {
	if err := checkLine(r); err != nil {
		return nil, err
	}
	exclude, err := checkHeader(r)
	if err != nil {
		return nil, err
	}
	host := r.Host
	if host == "" {
		host = r.Address
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, host)
	if closes && !wantsClose(r.Header) {
		b.WriteString("Connection: close\r\n")
	}
	if needsLength(r, exclude) {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	if err := r.Header.WriteSubset(&b, exclude); err != nil {
		return nil, err
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}

// checkLine rejects a method, URI or host with bytes that would end the field. It
// rejects CONNECT, since the end of its response can't be determined.
func checkLine(r Request) error {
	switch {
	case !httpguts.ValidHeaderFieldName(r.Method) || r.Method == http.MethodConnect:
		return fmt.Errorf("method %q can't be sent", r.Method)
	case r.URI == "" || hasSpaceOrControl(r.URI):
		return fmt.Errorf("request URI %q can't be sent", r.URI)
	case hasSpaceOrControl(r.Host) || hasSpaceOrControl(r.Address):
		return fmt.Errorf("host %q can't be sent", r.Host)
	}
	return nil
}

func hasSpaceOrControl(s string) bool {
	return strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c == 0x7f })
}

// checkHeader rejects fields that can't be sent as given and returns the names, in
// the caller's spelling, of those that encodeHead writes itself.
func checkHeader(r Request) (exclude map[string]bool, err error) {
	exclude = make(map[string]bool)
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return nil, fmt.Errorf("header name %q can't be sent", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return nil, fmt.Errorf("value of header %s can't be sent", name)
			}
		}
		switch http.CanonicalHeaderKey(name) {
		case "Host", "Transfer-Encoding":
			return nil, fmt.Errorf("header %s isn't the caller's to set", name)
		case "Content-Length":
			if err := checkLength(values, len(r.Body)); err != nil {
				return nil, err
			}
			exclude[name] = true
		}
	}
	return exclude, nil
}

// checkLength rejects a declared length that differs from that of the body.
func checkLength(values []string, length int) error {
	for _, value := range values {
		if value != strconv.Itoa(length) {
			return errors.New("header Content-Length isn't the length of the body")
		}
	}
	return nil
}

// needsLength reports whether Content-Length is sent: if r has a body, if its method
// usually has one, or if the caller set the field.
func needsLength(r Request, exclude map[string]bool) bool {
	switch r.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return len(r.Body) > 0 || len(exclude) > 0
}
