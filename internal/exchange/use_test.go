package exchange

import "testing"

// Guards against an exchange whose connection can't be told afterwards: which one it was,
// what it had carried, and whether the response was identified.
func TestUseOfConnection(t *testing.T) {
	address := serveTCP(t, func(p *targetConn) { p.answers(answerTo1, answerTo1+answerTo2) })
	p := identifiedPool()
	for n, want := range []Use{
		{Connection: 1, Identified: true},
		{Connection: 1, Before: 1, Skipped: 1, Identified: true},
	} {
		resp, err := p.Do(t.Context(), Request{Address: address, Method: "GET", URI: "/", ID: []string{"1", "2"}[n]})
		if err != nil {
			t.Fatal(err)
		}
		if resp.Use != want {
			t.Errorf("request %d: %+v, want %+v", n, resp.Use, want)
		}
		if _, err := readAndClose(resp); err != nil {
			t.Fatal(err)
		}
	}
}
