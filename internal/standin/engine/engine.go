// Package engine is a stand-in for a model engine: it batches continuously,
// caches prompt prefixes in limited memory, streams, resumes and cancels,
// exports and imports KV cache, and takes orders. Its answers are
// deterministic, so that a caller can verify them.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/standin/loopback"
	"lynxhill.example/lynxhill/internal/standin/targetbase"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Defaults of Options.
const (
	DefaultSlots       = 16
	DefaultCacheTokens = 16384
	DefaultFrameTokens = 4
	DefaultPrice       = 1.0
	DefaultLoadTime    = 200 * time.Millisecond

	kindGenerate = "generate"
	tokensPriced = 1000.0
	promptPrice  = 0.25 // of a prompt token against one that was written
)

// Options of an engine.
type Options struct {
	ID       string
	Seed     uint64
	Slots    int // largest batch
	MaxQueue int
	Time     TimeModel
	// FrameTokens is how many tokens a frame of a stream holds.
	FrameTokens int
	// CacheTokens is the memory of the prefix cache.
	CacheTokens int
	// LoadLag is how far load reports are behind, EventLag how far cache
	// events are, and EventLoss the share of events that are lost.
	LoadLag   time.Duration
	EventLag  time.Duration
	EventLoss float64
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
	// Models are loaded from the start, also after a crash.
	Models []targetapi.LoadedModel
	Role   string
	// Weights is the store that loads come from; nil gives the engine its own.
	Weights *WeightStore
	// Price is the cost of 1000 written tokens.
	Price float64
	// Listen opens the listener; nil listens on TCP.
	Listen loopback.ListenFunc
}

func (o *Options) setDefaults() {
	o.Time.setDefaults()
	defaults.Positive(&o.Slots, DefaultSlots)
	defaults.Positive(&o.FrameTokens, DefaultFrameTokens)
	defaults.Positive(&o.CacheTokens, DefaultCacheTokens)
	defaults.Set(&o.Role, RoleMixed)
	if o.Weights == nil {
		o.Weights = NewWeightStore(DefaultLoadTime)
	}
	defaults.Positive(&o.Price, DefaultPrice)
}

// Server is an engine. The embedded Target has the common fault switches.
type Server struct {
	*targetbase.Target

	opts   Options
	cache  *prefixCache
	models *models

	mu    sync.Mutex // guards life and closed
	life  *life
	ended bool
}

// life spans the background loads between two crashes.
type life struct {
	ctx    context.Context
	cancel context.CancelFunc
	loads  sync.WaitGroup
}

func newLife() *life {
	ctx, cancel := context.WithCancel(context.Background())
	return &life{ctx: ctx, cancel: cancel}
}

// New starts an engine on a loopback port.
func New(opts Options) (*Server, error) {
	opts.setDefaults()
	s := &Server{opts: opts, life: newLife()}
	s.cache = newPrefixCache(opts.CacheTokens, opts.EventLag, s.eventLost)
	s.models = newModels(opts.Models, opts.Role, opts.ChecksFence)
	target, err := targetbase.New(targetbase.Options{
		ID:       opts.ID,
		Seed:     opts.Seed,
		Slots:    opts.Slots,
		MaxQueue: opts.MaxQueue,
		LoadLag:  opts.LoadLag,
		Runner:   (*runner)(s),
		Routes:   s.routes,
		Listen:   opts.Listen,
	})
	if err != nil {
		return nil, err
	}
	s.Target = target
	return s, nil
}

// Close stops the engine and waits for its work.
func (s *Server) Close() {
	s.Target.Close()
	s.endLife(true)
}

// Orders returns the orders in the sequence in which they came.
func (s *Server) Orders() []OrderRecord { return s.models.orderList() }

func (s *Server) eventLost() bool {
	return s.opts.EventLoss > 0 && s.Float() < s.opts.EventLoss
}

func (s *Server) endLife(last bool) {
	s.mu.Lock()
	old := s.life
	s.ended = s.ended || last
	s.life = newLife()
	if s.ended {
		s.life.cancel()
	}
	s.mu.Unlock()
	old.cancel()
	old.loads.Wait()
}

func (s *Server) routes(mux *http.ServeMux) {
	mux.HandleFunc("POST "+targetapi.PathOrders, s.handleOrder)
	mux.HandleFunc("GET "+targetapi.PathCacheEvents, s.handleCacheEvents)
	mux.HandleFunc("GET "+targetapi.PathKVExport, s.handleKVExport)
	mux.HandleFunc("POST "+targetapi.PathKVImport, s.handleKVImport)
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order targetapi.Order
	if err := targetbase.DecodeBody(w, r, &order); err != nil || !knownOrder(order.Kind) {
		targetbase.WriteRefusal(w, targetapi.CodeBadInput, "no usable order")
		return
	}
	fetch, err := s.models.apply(order)
	if errors.Is(err, errOldFence) {
		targetbase.WriteRefusal(w, targetapi.CodeOldFence, err.Error())
		return
	}
	if fetch {
		s.startFetch(order)
	}
	targetbase.WriteJSON(w, http.StatusOK, s.State())
}

func knownOrder(kind string) bool {
	switch kind {
	case targetapi.OrderLoad, targetapi.OrderUnload, targetapi.OrderLoadAdapter,
		targetapi.OrderUnloadAdapter, targetapi.OrderRole:
		return true
	}
	return false
}

// startFetch brings weights in the background.
func (s *Server) startFetch(order targetapi.Order) {
	size := 1.0
	if order.Kind == targetapi.OrderLoadAdapter {
		size = adapterShare
	}
	s.mu.Lock()
	current := s.life
	current.loads.Add(1)
	s.mu.Unlock()
	go func() {
		defer current.loads.Done()
		if s.opts.Weights.fetch(current.ctx, size) {
			s.models.fetched(order)
		}
	}()
}

func (s *Server) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		var err error
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			targetbase.WriteRefusal(w, targetapi.CodeBadInput, "after unusable")
			return
		}
	}
	targetbase.WriteJSON(w, http.StatusOK, s.cache.eventsAfter(after))
}

func (s *Server) handleKVExport(w http.ResponseWriter, r *http.Request) {
	key := prefixKey{model: r.URL.Query().Get("model"), prefix: r.URL.Query().Get("prefix")}
	tokens, ok := s.cache.lookup(key)
	if !ok {
		refusal := targetapi.Refusal{Code: targetapi.CodeFailed, Message: "prefix not cached"}
		targetbase.WriteJSON(w, http.StatusNotFound, refusal)
		return
	}
	data, _ := json.Marshal(kvData{Tokens: tokens})
	targetbase.WriteJSON(w, http.StatusOK, targetapi.KVBlob{Model: key.model, Prefix: key.prefix, Data: data})
}

// kvData is the content of a stand-in's KV blob.
type kvData struct {
	Tokens int `json:"tokens"`
}

func (s *Server) handleKVImport(w http.ResponseWriter, r *http.Request) {
	var blob targetapi.KVBlob
	var data kvData
	err := targetbase.DecodeBody(w, r, &blob)
	if err == nil {
		err = json.Unmarshal(blob.Data, &data)
	}
	if err != nil || data.Tokens <= 0 {
		targetbase.WriteRefusal(w, targetapi.CodeBadInput, fmt.Sprintf("no usable KV blob: %v", err))
		return
	}
	s.cache.store(prefixKey{model: blob.Model, prefix: blob.Prefix}, data.Tokens)
	targetbase.WriteJSON(w, http.StatusOK, struct{}{})
}
