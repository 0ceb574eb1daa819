package httpserver

import (
	"fmt"
	"log"
	"math"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"

	"lynxhill.example/lynxhill/internal/event"
)

// DisarmGoZero takes away what go-zero does to a process that merely imports
// it. Its package proc listens to signals from its init on: 5.5 s after the
// first SIGTERM or SIGINT it sends the process the same signal again, which
// ends it with requests in flight, and on SIGUSR1 and SIGUSR2 it writes files.
// Call it first in main, and again once the program has begun its work, since
// go-zero asks for its signals from a goroutine that may run later than main.
func DisarmGoZero() {
	proc.SetTimeToForceQuit(time.Duration(math.MaxInt64)) // the time never comes
	signal.Ignore(syscall.SIGUSR1, syscall.SIGUSR2)
	logx.DisableStat()
}

// BridgeLogs sends what go-zero logs to the logger, and what is written to the
// standard logger, as net/http's client side does. The destinations are global
// to the process, so this is for main, not for an instance.
func BridgeLogs(logger *event.Logger) {
	logx.SetWriter(logBridge{logger: logger})
	log.SetFlags(0)
	log.SetOutput(logBridge{logger: logger})
}

// logBridge is a logx.Writer and an io.Writer that writes numbered events.
type logBridge struct {
	logger *event.Logger
}

// Write takes a line of the standard logger.
func (b logBridge) Write(p []byte) (int, error) {
	b.warn(strings.TrimSpace(string(p)))
	return len(p), nil
}

func (b logBridge) warn(v any)                      { b.logger.Log(event.LibraryWarning, "text", fmt.Sprint(v)) }
func (b logBridge) note(v any)                      { b.logger.Log(event.LibraryNote, "text", fmt.Sprint(v)) }
func (b logBridge) Alert(v any)                     { b.warn(v) }
func (b logBridge) Close() error                    { return nil }
func (b logBridge) Debug(v any, _ ...logx.LogField) { b.note(v) }
func (b logBridge) Error(v any, _ ...logx.LogField) { b.warn(v) }
func (b logBridge) Info(v any, _ ...logx.LogField)  { b.note(v) }
func (b logBridge) Severe(v any)                    { b.warn(v) }
func (b logBridge) Slow(v any, _ ...logx.LogField)  { b.note(v) }
func (b logBridge) Stack(v any)                     { b.warn(v) }
func (b logBridge) Stat(v any, _ ...logx.LogField)  { b.note(v) }
