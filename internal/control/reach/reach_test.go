package reach

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/stagecall"
)

var (
	errConnect = &stagecall.Failure{Class: stagecall.ClassConnect, Err: errors.New("no route")}
	errSilent  = &stagecall.Failure{Class: stagecall.ClassSilent}
	errBroken  = &stagecall.Failure{Class: stagecall.ClassBroken}
	errRefused = &stagecall.Failure{Class: stagecall.ClassRefused}
)

func newController(targets int) (*Controller, *board.Board) {
	b := board.New()
	for i := range targets {
		id := fmt.Sprintf("t%d", i)
		b.Targets.Put(id, board.Target{ID: id})
	}
	return New(Options{Board: b, Clock: quartz.NewReal()}), b
}

func cutOff(b *board.Board) bool {
	self, _ := b.Self.Get(board.SelfRow)
	return self.CutOff
}

// Guards against requests that wait until their deadlines at an instance that is cut
// off from every target: calls failed to reach three targets and none answered
// within the window, but only the age limit of the configuration, some seconds
// later, took the instance out of service.
func TestInstanceThatReachesNoTargetIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, b := newController(10)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go c.Run(ctx)
		lost := c.CutOff()
		for i, err := range []error{errConnect, errSilent, errConnect} {
			c.Observe(fmt.Sprintf("t%d", i), err)
		}
		time.Sleep(DefaultWindow + DefaultPeriod)
		synctest.Wait()
		if !cutOff(b) {
			t.Fatal("not cut off")
		}
		select {
		case <-lost:
		default:
			t.Fatal("requests in progress were not notified")
		}
		c.Observe("t7", errRefused) // a refusal is an answer
		if cutOff(b) {
			t.Fatal("still cut off after a target answered")
		}
		select {
		case <-c.CutOff():
			t.Fatal("new requests are notified of the previous loss")
		default:
		}
	})
}

func TestInsufficientEvidenceDoesNotCutOff(t *testing.T) {
	for name, observe := range map[string]func(c *Controller){
		"two targets": func(c *Controller) {
			c.Observe("t1", errConnect)
			c.Observe("t2", errConnect)
			c.Observe("t2", errSilent)
		},
		"broken connections":  func(c *Controller) { observeEach(c, 5, errBroken) },
		"an answer among":     func(c *Controller) { observeEach(c, 5, errConnect); c.Observe("t6", nil); c.Observe("t1", errConnect) },
		"nothing was tried":   func(*Controller) {},
		"a target that fails": func(c *Controller) { observeEach(c, 5, &stagecall.Failure{Class: stagecall.ClassFailed}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, b := newController(10)
				observe(c)
				time.Sleep(time.Hour)
				c.Step()
				if cutOff(b) {
					t.Fatal("cut off")
				}
			})
		})
	}
}

// With fewer targets than MinTargets, failing to reach all of them is enough.
func TestFewTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, b := newController(1)
		c.Observe("t0", errSilent)
		time.Sleep(DefaultWindow)
		c.Step()
		if !cutOff(b) {
			t.Fatal("not cut off")
		}
	})
}

func observeEach(c *Controller, n int, err error) {
	for i := range n {
		c.Observe(fmt.Sprintf("t%d", i), err)
	}
}
