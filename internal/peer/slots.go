package peer

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"lynxhill.example/lynxhill/internal/peer/peerpb"
)

// Slots serves the requests of another instance for slots of targets.
func (h *service) Slots(context.Context, *connect.BidiStream[peerpb.SlotsUp, peerpb.SlotsDown]) error {
	h.count("slots")
	return connect.NewError(connect.CodeUnimplemented, errors.New("no slots are coordinated here"))
}
