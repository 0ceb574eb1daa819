package platform

import (
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"lynxhill.example/lynxhill/internal/standin/loopback"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
)

const (
	contentJSON = "application/json"
	// codeBadRequest is for malformed calls, which the platform's own codes
	// don't cover.
	codeBadRequest = "bad_request"
	maxWatch       = 60 * time.Second
	// base64Room is how much larger than the value a JSON body may be.
	base64Room = 2
)

// guarded counts the call and applies the faults that come before its work.
func (s *Server) guarded(kind Kind, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.counters.call(kind)
		if !s.passOutage(w, r) {
			return
		}
		if !s.faults.allow(kind) {
			s.counters.change(func(c *Counts) { c.Throttled++ })
			writeError(w, http.StatusTooManyRequests, platformapi.CodeThrottled, "rate limit", nil)
			return
		}
		if !pause(r, s.faults.nextDelay()) {
			return
		}
		next(w, r)
	}
}

func (s *Server) passOutage(w http.ResponseWriter, r *http.Request) bool {
	for {
		mode, over := s.faults.outageNow()
		switch mode {
		case OutageRefuse:
			s.counters.change(func(c *Counts) { c.Refused++ })
			writeError(w, http.StatusServiceUnavailable, platformapi.CodeUnavailable, "outage", nil)
			return false
		case OutageHang:
			select {
			case <-over:
			case <-r.Context().Done():
				return false
			}
		default:
			return true
		}
	}
}

// pause waits; it returns false if the caller went away or the server stops.
func pause(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	case <-loopback.LifeContext(r.Context()).Done():
		return false
	}
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	if r.PathValue("key") == "" {
		s.guarded(KindList, s.handleList)(w, r)
		return
	}
	s.guarded(KindGet, s.handleGet)(w, r)
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	object, ok := s.store.get(r.PathValue("key"))
	if !ok {
		writeError(w, http.StatusNotFound, platformapi.CodeNotFound, "no such object", nil)
		return
	}
	writeJSON(w, http.StatusOK, object)
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.store.list(r.URL.Query().Get("prefix")))
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	cond, err := conditionOf(r)
	if err != nil || key == "" {
		writeError(w, http.StatusBadRequest, codeBadRequest, "key or if_version unusable", nil)
		return
	}
	value, err := s.readValue(w, r)
	if err != nil {
		writeValueError(w, err)
		return
	}
	object, err := s.store.put(key, value, cond)
	if err != nil {
		writeRefusal(w, err, object)
		return
	}
	object.Value = nil
	s.replyToWrite(w, object)
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	cond, err := conditionOf(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, codeBadRequest, "if_version unusable", nil)
		return
	}
	object, err := s.store.remove(r.PathValue("key"), cond)
	if err != nil {
		writeRefusal(w, err, object)
		return
	}
	s.replyToWrite(w, object)
}

// replyToWrite answers a write that took effect, or loses the answer.
func (s *Server) replyToWrite(w http.ResponseWriter, reply any) {
	if s.faults.loseReply() {
		s.counters.change(func(c *Counts) { c.Lost++ })
		dropConnection()
	}
	writeJSON(w, http.StatusOK, reply)
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, errWait := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if errAfter != nil || errWait != nil {
		writeError(w, http.StatusBadRequest, codeBadRequest, "after or wait_ms unusable", nil)
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWatch)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		list, changed := s.store.since(query.Get("prefix"), after)
		if list.Compacted || len(list.Objects) > 0 {
			s.answerWatch(w, r, list)
			return
		}
		// What was looked at need not be looked at again: with many watches
		// waiting, each change would else make each of them read the whole log.
		after = list.Version
		select {
		case <-changed:
		case <-timer.C:
			s.answerWatch(w, r, list)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answerWatch holds the answer back while an outage lasts: a watch that was
// waiting when the outage began is no way around it.
func (s *Server) answerWatch(w http.ResponseWriter, r *http.Request, list platformapi.ObjectList) {
	if s.passOutage(w, r) {
		writeJSON(w, http.StatusOK, list)
	}
}

func (s *Server) handleInstances(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.instances.list())
}

func (s *Server) handleRegister(w http.ResponseWriter, r *http.Request) {
	var instance platformapi.Instance
	body := http.MaxBytesReader(w, r.Body, int64(s.opts.MaxValue))
	if err := json.NewDecoder(body).Decode(&instance); err != nil || instance.ID == "" {
		writeError(w, http.StatusBadRequest, codeBadRequest, "no usable instance in the body", nil)
		return
	}
	s.instances.register(instance)
	s.replyToWrite(w, instance)
}

func conditionOf(r *http.Request) (condition, error) {
	query := r.URL.Query()
	if !query.Has(platformapi.ParamIfVersion) {
		return condition{}, nil
	}
	version, err := strconv.ParseUint(query.Get(platformapi.ParamIfVersion), 10, 64)
	return condition{set: true, version: version}, err
}

var errTooLarge = errors.New("value too large")

// readValue reads the value of a PUT: the body itself, or the value field of
// a JSON object.
func (s *Server) readValue(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limit := int64(s.opts.MaxValue)
	kind, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if kind == contentJSON {
		limit *= base64Room
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errTooLarge
	}
	if err != nil || kind != contentJSON {
		return body, err
	}
	var object platformapi.Object
	if err := json.Unmarshal(body, &object); err != nil {
		return nil, err
	}
	if len(object.Value) > s.opts.MaxValue {
		return nil, errTooLarge
	}
	return object.Value, nil
}

func writeValueError(w http.ResponseWriter, err error) {
	if errors.Is(err, errTooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, platformapi.CodeTooLarge, err.Error(), nil)
		return
	}
	writeError(w, http.StatusBadRequest, codeBadRequest, "body unusable", nil)
}

// writeRefusal answers a write that the store refused. The object is the
// current one on conflict, with version 0 if there is none.
func writeRefusal(w http.ResponseWriter, err error, object platformapi.Object) {
	switch {
	case errors.Is(err, errNoObject):
		writeError(w, http.StatusNotFound, platformapi.CodeNotFound, err.Error(), nil)
	case errors.Is(err, errFull):
		writeError(w, http.StatusRequestEntityTooLarge, platformapi.CodeTooLarge, err.Error(), nil)
	case object.Version == 0:
		writeError(w, http.StatusConflict, platformapi.CodeConflict, errNoObject.Error(), nil)
	default:
		writeError(w, http.StatusConflict, platformapi.CodeConflict, err.Error(), &object)
	}
}

func writeError(w http.ResponseWriter, status int, code, message string, current *platformapi.Object) {
	writeJSON(w, status, platformapi.Error{Code: code, Message: message, Current: current})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", contentJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
