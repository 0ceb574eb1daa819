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

// DisableGoZeroSignals disables side effects that go-zero has on any process that
// imports it. Its package proc handles signals from its init on: 5.5 s after the
// first SIGTERM or SIGINT it sends the same signal to the process again, which
// terminates it with requests in flight, and on SIGUSR1 and SIGUSR2 it writes
// files. Call DisableGoZeroSignals first in main, and again once the program has
// begun its work, since go-zero registers for signals in a goroutine that may run
// later than main.
func DisableGoZeroSignals() {
	proc.SetTimeToForceQuit(time.Duration(math.MaxInt64)) // never
	signal.Ignore(syscall.SIGUSR1, syscall.SIGUSR2)
	logx.DisableStat()
}

// BridgeLogs redirects go-zero's log and the standard logger, to which the
// client side of net/http writes, to the logger. Both are global to the process,
// so BridgeLogs is meant for main, not for an instance.
func BridgeLogs(logger *event.Logger) {
	logx.SetWriter(logBridge{logger: logger})
	log.SetFlags(0)
	log.SetOutput(logBridge{logger: logger})
}

// logBridge is a logx.Writer and an io.Writer that writes numbered events.
type logBridge struct {
	logger *event.Logger
}

// Write logs a line of the standard logger as a warning.
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
