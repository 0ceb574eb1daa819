package intake

import (
	"context"
	"net/http"
	"time"
)

// streamCost is the memory, in bytes, that a request takes from its arrival on if it shares
// its connection with others. For a request with a connection of its own the limit of
// connections covers it.
const streamCost = 64 << 10

// Request is what a request holds until it is answered, for servers whose handlers read the
// body themselves.
type Request struct {
	reserved    *Reservation
	bodyTimeout time.Duration
	served      func() // ends Serving; nil = the request is not whole yet
}

type requestKey struct{}

// RequestOf returns the Request that Admit has put into the context, nil if there is none.
func RequestOf(ctx context.Context) *Request {
	request, _ := ctx.Value(requestKey{}).(*Request)
	return request
}

// Admit returns a copy of a request that has just arrived, with a Request in its context. The
// error is of kind Overloaded if there is no memory for it. The caller must call end in any case.
func (m *Memory) Admit(r *http.Request, bodyTimeout time.Duration) (admitted *http.Request, end func(), err error) {
	request := &Request{reserved: m.Reserve(r.Context()), bodyTimeout: bodyTimeout}
	admitted = r.WithContext(context.WithValue(r.Context(), requestKey{}, request))
	if r.ProtoMajor > 1 {
		err = request.reserved.Add(streamCost)
	}
	if err == nil && (r.ProtoMajor > 1 || r.TLS != nil) { // the head was not examined as it arrived
		err = request.reserved.Add(int64(fieldCost * max(len(r.Header)-fewFields, 0)))
	}
	if err != nil {
		countLimit(r.Context(), limitMemory)
		return admitted, request.end, err
	}
	if r.ContentLength == 0 {
		err = request.whole(r.Context(), 0)
	}
	return admitted, request.end, err
}

// ReadBody reads the whole body, at most limit bytes. Errors are those of the function
// ReadBody.
func (q *Request) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := ReadBody(w, r, BodyOptions{MaxBytes: limit, Timeout: q.bodyTimeout, Reserved: q.reserved})
	if err != nil || q.served != nil {
		return body, err
	}
	return body, q.whole(r.Context(), int64(len(body)))
}

// whole records that the request has arrived. Its body is decoded into a copy.
func (q *Request) whole(ctx context.Context, body int64) error {
	if err := q.reserved.AddWhole(body); err != nil {
		return err
	}
	var err error
	q.served, err = Serving(ctx)
	return err
}

func (q *Request) end() {
	if q.served != nil {
		q.served()
	}
	q.reserved.End()
}
