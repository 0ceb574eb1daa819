// Package peerpb contains the messages of the calls between instances. They are generated
// from peer.proto and committed.
package peerpb

//go:generate sh -c "protoc --plugin=$(go tool -n protoc-gen-go) --plugin=$(go tool -n protoc-gen-connect-go) --go_out=. --go_opt=paths=source_relative --connect-go_out=. --connect-go_opt=paths=source_relative,simple peer.proto"
