package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"lynxhill.example/lynxhill/internal/peer/peerpb"
	"lynxhill.example/lynxhill/internal/streamorigin"
)

var _ streamorigin.Transport = (*Client)(nil)

// StoreOrigins implements streamorigin.Transport.
func (c *Client) StoreOrigins(ctx context.Context, instance string, records []streamorigin.Record) error {
	address, err := c.addressOf(instance)
	if err != nil {
		return err
	}
	in := &peerpb.Origins{Origins: convertAll(records, originToProto)}
	_, end, err := hedge(ctx, c, address, func(ctx context.Context, l *link) (struct{}, error) {
		return struct{}{}, c.call(ctx, "store_origins", l, func(ctx context.Context) error {
			_, err := l.client.StoreOrigins(ctx, in)
			return err
		})
	})
	end()
	return err
}

// FindOrigins implements streamorigin.Transport.
func (c *Client) FindOrigins(ctx context.Context, instance string, keys []streamorigin.Key) ([]streamorigin.Record, error) {
	address, err := c.addressOf(instance)
	if err != nil {
		return nil, err
	}
	in := &peerpb.OriginKeys{Keys: convertAll(keys, originKeyToProto)}
	out, end, err := hedge(ctx, c, address, func(ctx context.Context, l *link) (out *peerpb.Origins, err error) {
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
	return convertAll(out.GetOrigins(), originFromProto), nil
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

// FindOrigins serves a query for records.
func (h *service) FindOrigins(_ context.Context, in *peerpb.OriginKeys) (*peerpb.Origins, error) {
	h.count("find_origins")
	if h.o.Origins == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, nil)
	}
	found := h.o.Origins.HandleFind(convertAll(in.GetKeys(), originKeyFromProto))
	return &peerpb.Origins{Origins: convertAll(found, originToProto)}, nil
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
