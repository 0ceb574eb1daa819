package emulator

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// objectsPath is where the store's objects lie.
const objectsPath = "/lynxhill/objects/"

// Down is how a store rejects callers.
type Down string

// Ways of being down.
const (
	Up         Down = ""
	Down503    Down = "503"
	Down429    Down = "429"
	DownReset  Down = "reset"
	DownSilent Down = "silent" // keeps calls waiting without an answer
)

// StoreFault is what a store does to some callers.
type StoreFault struct {
	Down      Down
	Slow      time.Duration // before each call is done
	LoseShare float64       // of writes: done, but the connection closes without an answer
	LoseLate  time.Duration // if set, a lost write is done so much later, if its condition still holds
}

// SetFault replaces the fault for callers whose address begins with prefix;
// "" is all callers, and the longest prefix that fits counts.
func (s *Store) SetFault(prefix string, fault StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[prefix] = fault
	s.wake()
}

// ClearFaults ends all faults.
func (s *Store) ClearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.faults)
	s.wake()
}

// faultOf returns the fault for a caller, and what ends the wait for another.
func (s *Store) faultOf(caller string) (StoreFault, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	best, found := "", StoreFault{}
	for prefix, fault := range s.faults {
		if strings.HasPrefix(caller, prefix) && len(prefix) >= len(best) {
			best, found = prefix, fault
		}
	}
	return found, s.changed
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, ok := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	name, status := strings.CutSuffix(name, "/status")
	if !strings.HasPrefix(r.URL.Path, objectsPath) || kind == "" || ok && name == "" || strings.Contains(name, "/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	fault, _ := s.faultOf(r.RemoteAddr)
	if !s.reached(w, r, fault) {
		return
	}
	switch {
	case r.Method != http.MethodGet:
		s.write(r, objectKey{kind, name}, status, fault).give(w)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind, name)
	default:
		s.read(r, kind, name).give(w)
	}
}

// reached does what the fault does before a call; it reports whether it is served.
func (s *Store) reached(w http.ResponseWriter, r *http.Request, fault StoreFault) bool {
	if sleep(r.Context(), fault.Slow) != nil {
		return false
	}
	switch fault.Down {
	case Up:
		return true
	case DownReset:
		newReply(w, mannerLose, Faults{Reset: true}, 0).abort()
	case DownSilent:
		s.silence(w, r)
	default:
		s.refuse(w, fault.Down)
	}
	return false
}

func (s *Store) refuse(w http.ResponseWriter, how Down) {
	s.mu.Lock()
	s.counts.Refused++
	s.mu.Unlock()
	status, _ := strconv.Atoi(string(how)) // 503 or 429
	w.WriteHeader(status)
}

// silence holds a call while the store is silent, then closes it.
func (s *Store) silence(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // so that a close is noticed
	for {
		fault, changed := s.faultOf(r.RemoteAddr)
		if fault.Down != DownSilent {
			break
		}
		select {
		case <-changed:
			continue
		case <-r.Context().Done():
		}
		break
	}
	drop(w)
}

// storeAnswer is what a call gets; it is written without holding mu.
type storeAnswer struct {
	status int
	value  any // nil for none
	lost   bool
}

func (a storeAnswer) give(w http.ResponseWriter) {
	switch {
	case a.lost:
		drop(w)
	case a.value != nil:
		writeJSON(w, a.status, a.value)
	default:
		w.WriteHeader(a.status)
	}
}

// allowed counts a call; beyond the limit it is false. The caller holds mu.
func (s *Store) allowed(used *int, limit int) bool {
	if now := time.Now(); now.Sub(s.second) >= time.Second {
		s.second, s.reads, s.writes = now, 0, 0
	}
	*used++
	if limit <= 0 || *used <= limit {
		return true
	}
	s.counts.Refused++
	return false
}

func (s *Store) read(r *http.Request, kind, name string) storeAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	stale := r.URL.Query().Get("stale_read") == "1"
	if stale {
		s.counts.StaleReads++
	} else {
		s.counts.Reads++
		if !s.allowed(&s.reads, s.options.ReadsPerSecond) {
			return storeAnswer{status: http.StatusTooManyRequests}
		}
	}
	v := s.at(stale)
	if name == "" {
		page, more := s.page(v, kind, r.URL.Query().Get("after"))
		return storeAnswer{status: http.StatusOK, value: map[string]any{"entries": page, "has_more": more, "at": v.revision}}
	}
	object, ok := v.objects[objectKey{kind, name}]
	if !ok {
		return storeAnswer{status: http.StatusNotFound}
	}
	return storeAnswer{status: http.StatusOK, value: object}
}

// watch answers as soon as there is an event, or after wait_ms.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, name string) {
	from, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(cmp.Or(r.URL.Query().Get("wait_ms"), "0"))
	if err != nil || waitErr != nil || wait < 0 || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.counts.Watches++
	ok := s.allowed(&s.reads, s.options.ReadsPerSecond)
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		answer, changed := s.tryWatch(from, kind, name, expired)
		if changed == nil {
			s.mu.Lock()
			w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
			s.mu.Unlock()
			answer.give(w)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
		if fault, _ := s.faultOf(r.RemoteAddr); fault.Down != Up {
			drop(w) // cut off
			return
		}
	}
}

// tryWatch answers if there are events or the time is up; else it returns what
// to wait for.
func (s *Store) tryWatch(from int64, kind, name string, expired bool) (storeAnswer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events, err := s.since(from, kind, name)
	if err != nil {
		return storeAnswer{status: http.StatusGone}, nil
	}
	if len(events) == 0 && !expired {
		return storeAnswer{}, s.changed
	}
	return storeAnswer{status: http.StatusOK, value: map[string]any{"events": events, "at": s.now.revision}}, nil
}

// storeCall is a write.
type storeCall struct {
	method   string
	key      objectKey
	status   bool // of PUT: the status is replaced
	object   Object
	revision int64 // condition, 0 for none
}

func (s *Store) write(r *http.Request, key objectKey, status bool, fault StoreFault) storeAnswer {
	call := storeCall{method: r.Method, key: key, status: status}
	body, err := readBody(r)
	if err != nil || s.options.MaxValueBytes > 0 && len(body) > s.options.MaxValueBytes {
		return storeAnswer{status: http.StatusRequestEntityTooLarge}
	}
	if r.Method != http.MethodDelete && json.Unmarshal(body, &call.object) != nil {
		return storeAnswer{status: http.StatusBadRequest}
	}
	call.revision = call.object.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		if call.revision, err = strconv.ParseInt(text, 10, 64); err != nil {
			return storeAnswer{status: http.StatusBadRequest}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	if !s.allowed(&s.writes, s.options.WritesPerSecond) {
		return storeAnswer{status: http.StatusTooManyRequests}
	}
	if fault.LoseShare > 0 && s.options.Random.Float64() < fault.LoseShare {
		s.lose(call, fault.LoseLate)
		return storeAnswer{lost: true}
	}
	code, object := s.apply(call)
	if object == nil {
		return storeAnswer{status: code}
	}
	return storeAnswer{status: code, value: object}
}

// lose does a write now or later; its answer is lost. The caller holds mu.
func (s *Store) lose(call storeCall, late time.Duration) {
	s.counts.Lost++
	if late <= 0 {
		s.apply(call)
		return
	}
	time.AfterFunc(late, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.apply(call)
	})
}

// apply does a write; the caller holds mu. It returns the status and the object.
func (s *Store) apply(call storeCall) (int, *Object) {
	if call.method == http.MethodPost {
		call.key.name = cmp.Or(call.object.Metadata.Name, call.key.name)
	}
	old, exists := s.now.objects[call.key]
	platform := call.key.kind == "servers" || call.key.kind == "config"
	switch {
	case call.key.name == "":
		return http.StatusBadRequest, nil
	case call.method == http.MethodPost && exists:
		return http.StatusConflict, &old
	case call.method != http.MethodPost && !exists:
		return http.StatusNotFound, nil
	case exists && call.revision != 0 && call.revision != old.Metadata.Revision:
		return http.StatusConflict, &old
	case platform && (call.method != http.MethodPut || !call.status && !sameJSON(call.object.Specification, old.Specification)):
		return http.StatusForbidden, nil // the platform's own kinds
	}
	switch call.method {
	case http.MethodPost:
		return s.create(call)
	case http.MethodPut:
		return s.replace(call, old)
	case http.MethodDelete:
		return s.delete(call, old)
	}
	return http.StatusMethodNotAllowed, nil
}

func (s *Store) create(call storeCall) (int, *Object) {
	object := s.fresh(call.key.name)
	object.Specification = orNull(call.object.Specification)
	object.Metadata.Finalizers = append(object.Metadata.Finalizers, call.object.Metadata.Finalizers...)
	object = s.set(call.key.kind, object, true)
	return http.StatusOK, &object
}

func (s *Store) replace(call storeCall, old Object) (int, *Object) {
	object := old
	if call.status {
		object.Status = orNull(call.object.Status)
	} else {
		object.Specification = orNull(call.object.Specification)
		object.Metadata.Finalizers = append([]string{}, call.object.Metadata.Finalizers...)
	}
	if object.Metadata.DeletionPending && len(object.Metadata.Finalizers) == 0 {
		object = s.remove(call.key.kind, object)
		return http.StatusOK, &object
	}
	object = s.set(call.key.kind, object, false)
	return http.StatusOK, &object
}

func (s *Store) delete(call storeCall, old Object) (int, *Object) {
	if len(old.Metadata.Finalizers) == 0 {
		old = s.remove(call.key.kind, old)
		return http.StatusOK, &old
	}
	old.Metadata.Finalizers = slices.Clone(old.Metadata.Finalizers)
	old.Metadata.DeletionPending = true
	old = s.set(call.key.kind, old, false)
	return http.StatusOK, &old
}
