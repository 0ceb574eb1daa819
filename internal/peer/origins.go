package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"lynxhill.example/lynxhill/internal/peer/peerpb"
	"lynxhill.example/lynxhill/internal/streamorigin"
)

var _ streamorigin.Transport = (*Client)(nil)

// StoreOrigins implements streamorigin.Transport. It is not hedged: the sender has other
// instances to try.
func (c *Client) StoreOrigins(ctx context.Context, instance string, records []streamorigin.Record) error {
	l, err := c.linkTo(instance)
	if err != nil {
		return err
	}
	return c.call(ctx, "store_origins", l, func(ctx context.Context) error {
		_, err := l.client.StoreOrigins(ctx, &peerpb.Origins{Origins: convertAll(records, originToProto)})
		return err
	})
}

// FindOrigins implements streamorigin.Transport.
func (c *Client) FindOrigins(ctx context.Context, instance string, queries []streamorigin.Query) ([]streamorigin.Answer, error) {
	address, err := c.addressOf(instance)
	if err != nil {
		return nil, err
	}
	in := &peerpb.OriginQueries{Queries: convertAll(queries, originQueryToProto)}
	out, end, err := hedge(ctx, c, address, func(ctx context.Context, l *link) (out *peerpb.OriginAnswers, err error) {
		err = c.call(ctx, "find_origins", l, func(ctx context.Context) error {
			out, err = l.client.FindOrigins(ctx, in)
			return err
		})
		return out, err
	})
	end()
	if err != nil {
		return nil, err
	}
	return convertAll(out.GetAnswers(), originAnswerFromProto), nil
}

// StoreOrigins serves records of another instance.
func (h *service) StoreOrigins(_ context.Context, in *peerpb.Origins) (*peerpb.StoreOriginsReply, error) {
	h.count("store_origins")
	if h.o.Origins == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, nil)
	}
	h.o.Origins.HandleStore(convertAll(in.GetOrigins(), originFromProto))
	return &peerpb.StoreOriginsReply{}, nil
}

// FindOrigins serves queries for origins.
func (h *service) FindOrigins(_ context.Context, in *peerpb.OriginQueries) (*peerpb.OriginAnswers, error) {
	h.count("find_origins")
	if h.o.Origins == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, nil)
	}
	answers := h.o.Origins.HandleFind(convertAll(in.GetQueries(), originQueryFromProto))
	return &peerpb.OriginAnswers{Answers: convertAll(answers, originAnswerToProto)}, nil
}

func originKeyToProto(k streamorigin.Key) *peerpb.OriginKey {
	return &peerpb.OriginKey{Organisation: k.Organisation, Attempt: k.Attempt}
}

func originKeyFromProto(k *peerpb.OriginKey) streamorigin.Key {
	return streamorigin.Key{Organisation: k.GetOrganisation(), Attempt: k.GetAttempt()}
}

func originToProto(r streamorigin.Record) *peerpb.Origin {
	return &peerpb.Origin{
		Key: originKeyToProto(r.Key), Service: r.Service, Build: r.Build,
		ExpiresInMs: uint32(max(r.ExpiresIn, 0) / time.Millisecond), Ambiguous: r.Ambiguous,
	}
}

func originFromProto(o *peerpb.Origin) streamorigin.Record {
	return streamorigin.Record{
		Key:       originKeyFromProto(o.GetKey()),
		Origin:    streamorigin.Origin{Service: o.GetService(), Build: o.GetBuild()},
		ExpiresIn: duration(uint64(o.GetExpiresInMs())), Ambiguous: o.GetAmbiguous(),
	}
}

func originQueryToProto(q streamorigin.Query) *peerpb.OriginQuery {
	return &peerpb.OriginQuery{Key: originKeyToProto(q.Key), Route: q.Route, WindowMs: uint32(max(q.Window, 0) / time.Millisecond)}
}

func originQueryFromProto(q *peerpb.OriginQuery) streamorigin.Query {
	return streamorigin.Query{Key: originKeyFromProto(q.GetKey()), Route: q.GetRoute(), Window: duration(uint64(q.GetWindowMs()))}
}

func originAnswerToProto(a streamorigin.Answer) *peerpb.OriginAnswer {
	out := &peerpb.OriginAnswer{Found: a.Found, Only: a.Only}
	if a.Found || a.Only {
		out.Origin = originToProto(a.Record)
	}
	return out
}

func originAnswerFromProto(a *peerpb.OriginAnswer) streamorigin.Answer {
	out := streamorigin.Answer{Found: a.GetFound(), Only: a.GetOnly()}
	if a.GetOrigin() != nil {
		out.Record = originFromProto(a.GetOrigin())
	}
	return out
}
