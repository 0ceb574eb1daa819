package emulator

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ClientOptions of a Client.
type ClientOptions struct {
	Directory    []string // addresses of nodes that serve directory, the nearest first
	Addresses    []string // where to connect if there is no directory
	Region, Zone string
	Retries      int        // after the first attempt
	Random       *rand.Rand // used by this client alone
	Dial         func(ctx context.Context, network, address string) (net.Conn, error)
}

// Ask is what a client wants.
type Ask struct {
	Method, Host, Path string // the path with its query
	Body               []byte
	Key                string // Credential
	Kind               string // of its route
	Resume             bool   // the route has stream_resumption
	Deadline           time.Duration
	GiveUp             time.Duration // leaves each attempt after that; 0 never
	BreakAfter         int           // events after which the connection of the stream's first attempt breaks; 0 never
	Header             http.Header   // Model, Token-Counts and others
}

// Event is one event of a stream, as a client received it.
type Event struct {
	ID           int
	Attempt, Run string
	Number       int // as its data says
	At           time.Time
}

// Attempt is one request with its own Attempt-Id.
type Attempt struct {
	ID          string
	Ask         Ask
	From        int    // Last-Event-Id
	Resumes     string // the attempt that brought the first event of the stream; "" if this one may be
	Sent, Ended time.Time
	Status      int // 0: no answer
	Header      http.Header
	Body        string  // of plain answers
	Events      []Event // of streams
	Complete    bool    // the answer ended as complete
	GaveUp      bool    // left by the client, or at its deadline
	Err         error   // why there is no complete answer
}

// Client sends requests as the platform's clients do, and records them.
type Client struct {
	options    ClientOptions
	kept, once *http.Transport
	aggressive atomic.Bool // see SetAggressiveRetry

	mu        sync.Mutex
	random    *rand.Rand
	attempts  []Attempt
	addresses []string
	until     time.Time // for which addresses hold
	failed    map[string]bool
}

// NewClient returns a client. End it by Close.
func NewClient(o ClientOptions) *Client {
	return &Client{
		options: o, random: o.Random, addresses: o.Addresses, failed: make(map[string]bool),
		kept: &http.Transport{DialContext: o.Dial, DisableCompression: true},
		once: &http.Transport{DialContext: o.Dial, DisableCompression: true, DisableKeepAlives: true},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.kept.CloseIdleConnections() }

// Attempts returns all attempts that have ended.
func (c *Client) Attempts() []Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.attempts)
}

// aggressiveRetries replaces ClientOptions.Retries while aggressive retry is on.
const aggressiveRetries = 8

// SetAggressiveRetry controls whether the client makes up to aggressiveRetries
// retries without delay, ignoring Retry-After.
func (c *Client) SetAggressiveRetry(on bool) { c.aggressive.Store(on) }

// Do sends a request, with retries as the protocol allows them, and returns
// the last attempt.
func (c *Client) Do(ctx context.Context, ask Ask) Attempt {
	ctx, cancel := context.WithTimeout(ctx, ask.Deadline)
	defer cancel()
	from, began := 0, ""
	for n := 0; ; n++ {
		a := c.try(ctx, ask, n > 0, from, began)
		c.mu.Lock()
		c.attempts = append(c.attempts, a)
		c.mu.Unlock()
		retries := c.options.Retries
		if c.aggressive.Load() {
			retries = aggressiveRetries
		}
		if n >= retries || ctx.Err() != nil || !a.mayRetry() {
			return a
		}
		if len(a.Events) > 0 {
			from = a.Events[len(a.Events)-1].ID
			began = cmp.Or(began, a.ID)
		}
		if !c.aggressive.Load() && sleep(ctx, a.pause(ctx)) != nil {
			return a
		}
	}
}

// TakeUp sends one attempt that goes on with a stream after an event, and names in Resumes
// what the caller says.
func (c *Client) TakeUp(ctx context.Context, ask Ask, after int, resumes string) Attempt {
	ctx, cancel := context.WithTimeout(ctx, ask.Deadline)
	defer cancel()
	a := c.try(ctx, ask, true, after, resumes)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
	return a
}

// mayRetry says whether the protocol lets the client try again.
func (a Attempt) mayRetry() bool {
	switch a.Status {
	case 429, 503, 408, 421:
		return true
	case 400, 401, 404, 413, 431:
		return false
	}
	if a.GaveUp || a.Complete && a.Status/100 == 2 {
		return false
	}
	return a.repeatable()
}

// repeatable says whether the request may run more than once.
func (a Attempt) repeatable() bool { return a.Ask.Kind == Idempotent || a.Ask.Resume }

// pause honours Retry-After, up to a third of the time left.
func (a Attempt) pause(ctx context.Context) time.Duration {
	seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	end, _ := ctx.Deadline()
	return min(time.Duration(seconds*float64(time.Second)), time.Until(end)/3)
}

// try sends one attempt.
func (c *Client) try(ctx context.Context, ask Ask, again bool, from int, began string) Attempt {
	a := Attempt{ID: c.newID(), Ask: ask, From: from, Resumes: began, Sent: time.Now()}
	end, _ := ctx.Deadline()
	if ask.GiveUp > 0 {
		limited, cancel := context.WithTimeout(ctx, ask.GiveUp)
		defer cancel()
		ctx = limited
	}
	address, err := c.choose(ctx, ask.Host)
	if err == nil {
		err = c.exchange(ctx, &a, address, end, again)
	}
	a.Ended, a.Err = time.Now(), err
	a.GaveUp = gaveUp(ctx, err, a.Ended)
	if err != nil && !a.GaveUp && a.Status == 0 {
		c.mu.Lock()
		c.failed[address] = true
		c.mu.Unlock()
	}
	return a
}

// gaveUp reports whether an attempt failed after its context was canceled, or at its
// deadline or later. It compares the times because the context's timer may fire late.
func gaveUp(ctx context.Context, err error, ended time.Time) bool {
	deadline, hasDeadline := ctx.Deadline()
	return err != nil && (ctx.Err() != nil || hasDeadline && !ended.Before(deadline))
}

func (c *Client) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%016x", c.random.Uint64())
}

// exchange sends the request and reads the answer.
func (c *Client) exchange(ctx context.Context, a *Attempt, address string, end time.Time, again bool) error {
	r, err := http.NewRequestWithContext(ctx, a.Ask.Method, "http://"+address+a.Ask.Path, bytes.NewReader(a.Ask.Body))
	if err != nil {
		return err
	}
	r.Host, r.GetBody = a.Ask.Host, nil
	if a.Ask.Header != nil {
		r.Header = a.Ask.Header.Clone()
	}
	r.Header.Set("Attempt-Id", a.ID)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(time.Until(end).Milliseconds(), 10))
	if a.Ask.Key != "" {
		r.Header.Set("Credential", a.Ask.Key)
	}
	if a.From > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(a.From))
		if a.Resumes != "" {
			r.Header.Set("Resumes", a.Resumes)
		}
	}
	transport := c.kept
	if again || !a.repeatable() && len(a.Ask.Body) == 0 { // Go itself repeats requests without a body
		transport = c.once
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	a.Status, a.Header = response.StatusCode, response.Header
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		var inside bool
		inside, err = a.readEvents(bufio.NewReader(response.Body))
		if framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0; inside && !framed {
			err = io.ErrUnexpectedEOF
		}
	} else {
		var body []byte
		body, err = io.ReadAll(response.Body)
		a.Body = string(body)
	}
	a.Complete = err == nil
	return err
}

// errBroken is the end of a connection by Ask.BreakAfter.
var errBroken = errors.New("the client's connection broke")

// readEvents reads events to the end; one that isn't ended doesn't count. inside
// reports whether there was such a one.
func (a *Attempt) readEvents(from *bufio.Reader) (inside bool, err error) {
	var e Event
	for {
		line, err := from.ReadString('\n')
		inside = inside || line != ""
		if err != nil {
			if errors.Is(err, io.EOF) {
				return inside, nil
			}
			return inside, err
		}
		line = strings.TrimSuffix(line, "\n")
		switch name, value, _ := strings.Cut(line, ": "); name {
		case "id":
			e.ID, _ = strconv.Atoi(value) // 0 is found out of order
		case "data":
			_, _ = fmt.Sscan(value, &e.Attempt, &e.Run, &e.Number) // as above
		case "":
			e.At = time.Now()
			a.Events = append(a.Events, e)
			e, inside = Event{}, false
			if a.Resumes == "" && a.Ask.BreakAfter > 0 && len(a.Events) == a.Ask.BreakAfter {
				return inside, errBroken
			}
		}
	}
}

// choose picks an address at random among those that haven't failed.
func (c *Client) choose(ctx context.Context, host string) (string, error) {
	c.mu.Lock()
	stale := len(c.options.Directory) > 0 && !time.Now().Before(c.until)
	c.mu.Unlock()
	if stale {
		c.resolve(ctx, host)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 {
		return "", errors.New("no address is known")
	}
	fit := slices.DeleteFunc(slices.Clone(c.addresses), func(a string) bool { return c.failed[a] })
	if len(fit) == 0 {
		clear(c.failed)
		fit = c.addresses
	}
	return fit[c.random.IntN(len(fit))], nil
}

// resolve asks up to three directory nodes; what is known stays if all fail.
func (c *Client) resolve(ctx context.Context, host string) {
	for _, node := range c.options.Directory[:min(3, len(c.options.Directory))] {
		addresses, ttl, err := c.askDirectory(ctx, node, host)
		if err != nil {
			continue
		}
		c.mu.Lock()
		c.addresses, c.until = addresses, time.Now().Add(ttl)
		clear(c.failed)
		c.mu.Unlock()
		return
	}
}

func (c *Client) askDirectory(ctx context.Context, node, host string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	query := url.Values{"name": {host}, "region": {c.options.Region}, "zone": {c.options.Zone}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+"/lynxhill/resolution?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, err
	}
	response, err := c.kept.RoundTrip(r)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	if response.StatusCode != http.StatusOK || len(answer.Addresses) == 0 {
		return nil, 0, cmp.Or(err, fmt.Errorf("%s answered %s without addresses", node, response.Status))
	}
	return answer.Addresses, time.Duration(answer.TTL * float64(time.Second)), err
}
