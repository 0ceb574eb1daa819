package peer

import (
	"reflect"
	"testing"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/streamorigin"
)

func TestEveryFieldOfAnOriginArrives(t *testing.T) {
	kept := streamorigin.New(streamorigin.Options{Self: "b", Clock: quartz.NewReal(), Members: func() []streamorigin.Member { return nil }})
	client, _ := startServer(t, ServerOptions{Origins: kept})
	want := streamorigin.Record{
		Key: streamorigin.Key{Organisation: "o", Attempt: "a"}, Origin: streamorigin.Origin{Service: "s", Build: "v1.1"},
		ExpiresIn: 20 * time.Second, Ambiguous: true,
	}
	requireAllSet(t, reflect.ValueOf(want), "Record")
	if err := client.StoreOrigins(t.Context(), "b", []streamorigin.Record{want}); err != nil {
		t.Fatal(err)
	}
	queries := []streamorigin.Query{
		{Key: streamorigin.Key{Organisation: "o", Attempt: "x"}, Route: "r", Window: time.Second},
		{Key: want.Key, Route: "r", Window: time.Second},
		{Key: streamorigin.Key{Attempt: "a"}},
	}
	requireAllSet(t, reflect.ValueOf(queries[0]), "Query")
	for _, q := range queries[:2] {
		if got := originQueryFromProto(originQueryToProto(q)); got != q {
			t.Errorf("received %+v, sent %+v", got, q)
		}
	}
	got, err := client.FindOrigins(t.Context(), "b", queries)
	if err != nil || len(got) != 3 || got[0].Found || !got[1].Found || got[2].Found {
		t.Fatalf("%+v, %v", got, err)
	}
	if left := got[1].ExpiresIn; left > want.ExpiresIn || left < want.ExpiresIn-5*time.Second {
		t.Errorf("expires in %v", left)
	}
	if got[1].ExpiresIn = want.ExpiresIn; got[1].Record != want {
		t.Errorf("received %+v, sent %+v", got[1], want)
	}
	only := streamorigin.Answer{Only: true, Record: streamorigin.Record{Origin: want.Origin}}
	if got := originAnswerFromProto(originAnswerToProto(only)); got != only {
		t.Errorf("received %+v, sent %+v", got, only)
	}
}

// Guards against an instance without origins that is taken for one that knows no stream.
func TestInstanceWithoutOriginsSaysSo(t *testing.T) {
	client, _ := startServer(t, ServerOptions{})
	if err := client.StoreOrigins(t.Context(), "b", []streamorigin.Record{{}}); err == nil {
		t.Error("stored")
	}
	if found, err := client.FindOrigins(t.Context(), "b", []streamorigin.Query{{}}); err == nil {
		t.Errorf("found %v", found)
	}
}
