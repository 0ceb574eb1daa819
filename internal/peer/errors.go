package peer

import (
	"encoding/json"
	"errors"

	"connectrpc.com/connect"

	"lynxhill.example/lynxhill/internal/errkind"
)

// toConnect encodes the errkind body of an error as the message of the call's error, so
// that the caller gets an error of the same kind.
func toConnect(err error) error {
	if err == nil {
		return nil
	}
	return connect.NewError(connect.CodeAborted, errors.New(string(bodyJSON(err, ""))))
}

func bodyJSON(err error, requestID string) []byte {
	body, marshalErr := json.Marshal(errkind.BodyOf(err, requestID))
	if marshalErr != nil {
		return []byte("{}")
	}
	return body
}

// fromConnect restores the kind of a received error. Errors of the call itself are
// returned unchanged.
func fromConnect(err error) error {
	var call *connect.Error
	if !errors.As(err, &call) || call.Code() != connect.CodeAborted {
		return err
	}
	if restored, ok := fromBody([]byte(call.Message())); ok {
		return restored
	}
	return err
}

func fromBody(text []byte) (error, bool) {
	var body errkind.Body
	if json.Unmarshal(text, &body) != nil || body.Kind == "" {
		return nil, false
	}
	return body.Err(), true
}
