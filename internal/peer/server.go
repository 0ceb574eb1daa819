package peer

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/outcome"
	"lynxhill.example/lynxhill/internal/peer/peerpb"
	"lynxhill.example/lynxhill/internal/peer/peerpb/peerpbconnect"
	"lynxhill.example/lynxhill/internal/pipeline"
	"lynxhill.example/lynxhill/internal/slotqueue"
	"lynxhill.example/lynxhill/internal/stagework"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/streamorigin"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// ServerOptions are the functions that serve the calls of other instances. A call whose
// function is nil returns an empty reply or is not implemented.
type ServerOptions struct {
	Exchange func(ctx context.Context, d gossip.Digest) gossip.Digest // membership.Manager.HandleExchange
	Probe    func(ctx context.Context, targetPeerAddr string) error   // membership.Manager.HandleProbe
	// Profiles returns the objects of a prefix above a version for an instance, see
	// profilesync.Manager.ObjectsSince and routesync.Manager.Serve.
	Profiles func(from, prefix string, after uint64) (objects []store.Object, version uint64, more bool, err error)
	// Outcome waits for the outcome of a key in flight until ctx is cancelled.
	Outcome func(ctx context.Context, key outcome.Key) (record outcome.Record, found bool, err error)
	// Forward runs a request that came with a ticket of this instance.
	Forward  func(ctx context.Context, from string, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error)
	Handover func(ctx context.Context, from string, records []outcome.Exported)
	Burn     func(window time.Duration) lynxapi.BurnReport
	Claim    func(ctx context.Context, m claim.Message) (claim.Reply, error) // claim.StoreClaimer.Handle
	// Work accepts a job of another instance; stagework.Dispatcher.Submit. Both results
	// are nil if the instance accepts no jobs.
	Work func(job stagework.Job) (stagework.Assignment, *stagework.Refusal)
	// Origins keeps origins of streams; nil = none.
	Origins *streamorigin.Manager
	// Slots opens a session of another instance with this one as the coordinator. It
	// returns the instance that ranks first instead, if that is another one. nil = this
	// instance coordinates nothing.
	Slots func(instance string, answer func(slotqueue.Answer)) (session slotqueue.Session, first string)
	// SlotsEnd is closed when this instance stops to coordinate: the sessions end, and their
	// owners are told the instance that Slots then returns. nil = never.
	SlotsEnd <-chan struct{}
	// Tunnels opens connections to targets for other instances.
	Tunnels TunnelServer
	// CutOff reports whether this instance receives nothing from any other. nil = never.
	CutOff  func() bool
	Logger  *event.Logger
	Metrics *metrics.Registry
}

// service implements the generated handler.
type service struct{ o ServerOptions }

// NewHandler returns the handler of the peer API.
func NewHandler(o ServerOptions) http.Handler {
	mux := http.NewServeMux()
	path, handler := peerpbconnect.NewPeerHandler(&service{o},
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendMaxBytes(maxMessageBytes),
		connect.WithCompression("gzip", newDecompressor, newCompressor))
	mux.Handle(path, handler)
	return mux
}

func newDecompressor() connect.Decompressor { return new(gzip.Reader) }

// newCompressor returns a compressor of the fastest level: at the default one, the
// compression of digests takes a tenth of the processor time of an instance without requests.
func newCompressor() connect.Compressor {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	return w
}

func (h *service) count(method string) { h.o.Metrics.Labelled(metricServed).Add(method, 1) }

// Exchange serves a heartbeat.
func (h *service) Exchange(ctx context.Context, in *peerpb.Digest) (*peerpb.Digest, error) {
	h.count("exchange")
	if h.o.Exchange == nil {
		return &peerpb.Digest{}, nil
	}
	return toProto(h.o.Exchange(ctx, fromProto(in))), nil
}

// Probe serves an indirect probe.
func (h *service) Probe(ctx context.Context, in *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	h.count("probe")
	if h.o.Probe == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, nil)
	}
	return &peerpb.ProbeReply{}, toConnect(h.o.Probe(ctx, in.GetTarget()))
}

// Profiles serves a pull of configuration objects.
func (h *service) Profiles(_ context.Context, in *peerpb.ProfilesRequest) (*peerpb.ProfilesReply, error) {
	h.count("profiles")
	if h.o.Profiles == nil {
		return &peerpb.ProfilesReply{}, nil
	}
	objects, mark, more, err := h.o.Profiles(in.GetFrom(), in.GetPrefix(), in.GetAfter())
	if errors.Is(err, store.ErrThrottled) {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	if err != nil {
		return nil, toConnect(err)
	}
	return &peerpb.ProfilesReply{Objects: convertAll(objects, objectToProto), Mark: mark, More: more}, nil
}

func objectToProto(o store.Object) *peerpb.Object {
	return &peerpb.Object{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted}
}

// Outcome serves a query for the outcome of a key.
func (h *service) Outcome(ctx context.Context, in *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
	h.count("outcome")
	if h.o.Outcome == nil {
		return &peerpb.OutcomeReply{}, nil
	}
	record, found, err := h.o.Outcome(ctx, outcome.Key{Organisation: in.GetOrganisation(), Key: in.GetKey()})
	if err != nil {
		return nil, toConnect(err)
	}
	if !found {
		return &peerpb.OutcomeReply{}, nil
	}
	text, err := json.Marshal(record)
	if err != nil {
		return nil, toConnect(errkind.Wrap(err, errkind.Internal, "outcome record"))
	}
	return &peerpb.OutcomeReply{Found: true, Record: text}, nil
}

// Handover receives the outcome records of an instance that stops.
func (h *service) Handover(ctx context.Context, in *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	h.count("handover")
	var records []outcome.Exported
	for _, r := range in.GetRecords() {
		var record outcome.Exported
		if json.Unmarshal(r.GetRecord(), &record) == nil {
			records = append(records, record)
		}
	}
	if h.o.Handover != nil {
		h.o.Handover(ctx, in.GetFrom(), records)
	}
	return &peerpb.HandoverReply{Kept: uint32(len(records))}, nil
}

// Burn serves this instance's report on its service-level objectives.
func (h *service) Burn(_ context.Context, in *peerpb.BurnRequest) (*peerpb.BurnReply, error) {
	h.count("burn")
	if h.o.Burn == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, nil)
	}
	report := h.o.Burn(time.Duration(in.GetWindowMs()) * time.Millisecond)
	text, err := json.Marshal(report)
	if err != nil {
		return nil, toConnect(errkind.Wrap(err, errkind.Internal, "burn report"))
	}
	return &peerpb.BurnReply{Report: text}, nil
}
