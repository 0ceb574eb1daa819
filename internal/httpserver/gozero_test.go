package httpserver

import (
	"bytes"
	"log"
	"os"
	"strings"
	"testing"

	kitlog "github.com/go-kit/log"
	"github.com/zeromicro/go-zero/core/logx"

	"lynxhill.example/lynxhill/internal/event"
)

// Guards against lines without an event number on stderr, which a search for
// events does not find: some libraries write to the standard logger.
func TestLibrariesLogNumberedEvents(t *testing.T) {
	var lines bytes.Buffer
	flags := log.Flags()
	BridgeLogs(event.NewLogger(kitlog.NewLogfmtLogger(&lines)))
	t.Cleanup(func() {
		log.SetOutput(os.Stderr)
		log.SetFlags(flags)
		logx.Disable()
	})
	log.Print("timeout waiting for PING response")
	if text := lines.String(); !strings.Contains(text, "event=1211") || !strings.Contains(text, `text="timeout waiting for PING response"`) {
		t.Errorf("logged %q", text)
	}
}
