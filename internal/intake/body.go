package intake

import (
	"errors"
	"io"
	"net/http"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
)

const (
	// discardLimit is the maximum length, in bytes, of a body that is read and discarded
	// so that its connection can be reused.
	discardLimit = 16 << 10
	// DiscardTimeout is the timeout of reading it.
	DiscardTimeout = 500 * time.Millisecond
	// memoryWait is how long a large body waits until there is memory for it. Callers
	// whose request is not read for longer give it up.
	memoryWait = time.Second
	// firstBuffer is the size, in bytes, of the buffer in which the beginning of a body
	// is read.
	firstBuffer = 4 << 10
	// growth is the factor by which the buffer of a body of unknown length grows.
	growth = 4
)

// SkipBody handles the body of a refused request that was not read completely. A short one
// of known length is discarded by net/http, and the connection stays open. Any other would
// occupy the connection with bytes that are of no use, so the connection is closed after
// the response, or before it if another one needs its place.
func SkipBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	abandon(r.Context())
	if r.ContentLength < 0 || r.ContentLength > discardLimit {
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(DiscardTimeout))
}

// BodyOptions are the limits on a body.
type BodyOptions struct {
	MaxBytes int64
	Timeout  time.Duration // for the whole body
	Reserved *Reservation  // for the bytes of the body
}

// ReadBody reads the whole body. The error is of kind TooLarge, of kind Overloaded if there
// is no memory for the body or the connection was closed in favour of others, of kind
// BodyTimeout if it did not arrive in time, else of kind BadRequest. After an error, what was not read has been handled as SkipBody does.
func ReadBody(w http.ResponseWriter, r *http.Request, o BodyOptions) ([]byte, error) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > o.MaxBytes {
		SkipBody(w, r)
		countLimit(r.Context(), limitBodyBytes)
		return nil, tooLarge(o.MaxBytes)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(o.Timeout))
	b := bodyReader{from: http.MaxBytesReader(w, r.Body, o.MaxBytes), request: r, o: o}
	err := b.read()
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return b.bytes, nil
	}
	if evicted(r.Context()) {
		w.Header().Set("Connection", "close") // its read deadline has passed, so nothing is skipped
		return nil, errEvicted
	}
	SkipBody(w, r)
	return nil, b.classify(err)
}

func tooLarge(limit int64) error {
	return errkind.New(errkind.TooLarge, "the body is larger than %d bytes", limit)
}

// bodyReader reads a body into a buffer that grows as the body arrives.
type bodyReader struct {
	from    io.Reader
	request *http.Request
	o       BodyOptions
	bytes   []byte
}

func (b *bodyReader) read() error {
	length := b.request.ContentLength // -1 = unknown
	if length > 0 && !b.o.Reserved.fits(length) {
		return ErrFull
	}
	if err := b.grow(firstBuffer); err != nil {
		return err
	}
	for {
		n, err := b.from.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case int64(len(b.bytes)) == length, errors.Is(err, io.EOF) && length < 0:
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case len(b.bytes) < cap(b.bytes):
			continue
		}
		if err := b.grow(growth * cap(b.bytes)); err != nil {
			return err
		}
	}
}

// grow enlarges the buffer. Once the beginning of a large body of known length has arrived,
// there is one step to that length, for which the caller waits its turn. Bodies of unknown
// length do not wait: each would wait for memory that the others hold.
func (b *bodyReader) grow(size int) error {
	known := b.request.ContentLength > 0
	if known && (size > smallRequest || int64(size) > b.request.ContentLength) {
		size = int(b.request.ContentLength)
	}
	size = min(size, int(b.o.MaxBytes)+1)
	more := int64(size - cap(b.bytes))
	var err error
	if known && size > smallRequest {
		expectRate(b.request.Context(), float64(size)/b.o.Timeout.Seconds())
		err = b.o.Reserved.AddWaiting(b.request.Context(), more, memoryWait)
	} else {
		err = b.o.Reserved.Add(more)
	}
	if err != nil {
		return err
	}
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.bytes = grown
	return nil
}

// classify converts an error of read into one with a kind.
func (b *bodyReader) classify(err error) error {
	ctx := b.request.Context()
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, ErrFull):
		countLimit(ctx, limitMemory)
		return err
	case errors.As(err, &large):
		countLimit(ctx, limitBodyBytes)
		return tooLarge(b.o.MaxBytes)
	case isTimeout(err):
		countLimit(ctx, limitBodyTime)
		return errkind.New(errkind.BodyTimeout, "the body did not arrive in time")
	default:
		return errkind.Wrap(err, errkind.BadRequest, "the body broke off")
	}
}
