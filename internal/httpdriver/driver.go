// Package httpdriver implements driver.Driver over HTTP/1.1 with JSON, the protocol of
// the stand-ins for engines and plain services.
//
// A generation is a POST whose answer is a stream of JSON lines. Each line echoes the
// attempt's id, tokens are numbered, and the last line is an explicit end with counts.
// Lines of kind alive are sent while there is nothing new, so that a busy engine can be
// distinguished from one that has stalled.
//
// # Usage
//
//	drv := httpdriver.New(httpdriver.Settings{})
//	defer drv.Close()
//	stream, err := drv.Generate(ctx, target, call)
//
// A call is written at most once, to one connection. After an error the connection is
// reset, and the class of the error states what is known: driver.ErrNotSent is returned
// only if the kernel accepted no byte of the request.
package httpdriver

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/responselimiter"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

var (
	errClosed     = errors.New("driver is closed")
	errStreamIdle = errors.New("endpoint was silent for too long")
)

// Settings are the limits of a Driver. A zero value selects the default.
type Settings struct {
	DialTimeout time.Duration // default 1 s
	// UserTimeout is how long the kernel retransmits unacknowledged bytes of
	// a call; default 5 s.
	UserTimeout time.Duration
	// StreamIdleTimeout is the longest time without data on a stream; default 3 s.
	StreamIdleTimeout time.Duration
	// CallTimeout limits one call of a plain service; default 60 s.
	CallTimeout time.Duration
	// OrderTimeout limits sending one order and receiving its answer, and is also the TCP
	// user timeout of the order's connection; default 2 s.
	OrderTimeout time.Duration
	// ControlTimeout limits reports and cancel requests; default 2 s.
	ControlTimeout time.Duration
	MaxLineBytes   int // per line of a stream; default 64 KiB
	MaxAnswerBytes int // per answer of a plain service; default 4 MiB
	MaxReportBytes int // per report; default 1 MiB
	// MaxIdleConns is how many idle connections are kept per endpoint; default 128. Each
	// stream needs a connection, so the pool should be about as large as an engine's
	// batch. With a smaller pool each request opens a new connection.
	MaxIdleConns int
	// MaxConns limits the connections per endpoint; default 1024. Calls beyond it wait,
	// and fail with ErrNotSent when their context ends.
	MaxConns int
	// IdleConnTimeout is how long an idle connection is kept; default 30 s. It has to be
	// shorter than the idle timeout of the endpoints.
	IdleConnTimeout time.Duration
	// ExceededLimits counts answers that exceed a limit; nil: not counted.
	ExceededLimits *responselimiter.Counter
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.DialTimeout, time.Second)
	setDefault(&s.UserTimeout, 5*time.Second)
	setDefault(&s.StreamIdleTimeout, 3*time.Second)
	setDefault(&s.CallTimeout, time.Minute)
	setDefault(&s.OrderTimeout, 2*time.Second)
	setDefault(&s.ControlTimeout, 2*time.Second)
	setDefault(&s.MaxLineBytes, 64<<10)
	setDefault(&s.MaxAnswerBytes, 4<<20)
	setDefault(&s.MaxReportBytes, 1<<20)
	setDefault(&s.MaxIdleConns, 128)
	setDefault(&s.MaxConns, 1024)
	setDefault(&s.IdleConnTimeout, 30*time.Second)
	return s
}

func setDefault[T int | time.Duration](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}

// Driver is safe for concurrent use.
type Driver struct {
	settings Settings
	work     *responselimiter.Transport // generations, prefills and calls
	control  *responselimiter.Transport // reports and cancel requests, which must not wait for connections used by work

	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

var _ driver.Driver = (*Driver)(nil)

// New creates a Driver.
func New(settings Settings) *Driver {
	settings = settings.withDefaults()
	return &Driver{
		settings: settings,
		work:     newTransport(settings, settings.MaxIdleConns, settings.MaxConns),
		control:  newTransport(settings, 2, 16),
	}
}

func newTransport(settings Settings, maxIdleConns, maxConns int) *responselimiter.Transport {
	transport := responselimiter.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := dial(ctx, address, settings.DialTimeout, settings.UserTimeout)
			if err != nil {
				return nil, err // conn would be a non-nil net.Conn holding a nil *countingConn
			}
			return conn, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           0, // no limit for all endpoints together
		MaxIdleConnsPerHost:    maxIdleConns,
		MaxConnsPerHost:        maxConns,
		IdleConnTimeout:        settings.IdleConnTimeout,
		MaxResponseHeaderBytes: 16 << 10,
	}, responselimiter.ClientEndpoint)
	transport.Counter = settings.ExceededLimits
	return transport
}

// Close rejects new calls, waits for running ones and closes the connections.
func (d *Driver) Close() error {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()

	d.running.Wait()
	d.work.CloseIdleConnections()
	d.control.CloseIdleConnections()
	return nil
}

// begin registers a running call. After a success the caller must call d.running.Done.
func (d *Driver) begin() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return &classError{class: driver.ErrNotSent, cause: errClosed}
	}
	d.running.Add(1)
	return nil
}

// Call calls a plain service and returns its answer.
func (d *Driver) Call(ctx context.Context, target driver.Target, call driver.ServiceCall) (_ driver.ServiceAnswer, err error) {
	defer func() { err = eris.Wrapf(err, "call service %s", target.EndpointID) }()

	ctx, cancel := timekeeper.WithTimeout(ctx, d.settings.CallTimeout)
	defer cancel()
	var answer CallAnswer
	echoed := func() string { return answer.AttemptID }
	request := unaryCall{transport: d.work, path: PathCall, attemptID: call.AttemptID, maxAnswerBytes: d.settings.MaxAnswerBytes}
	if err := d.doUnary(ctx, target, request, call, &answer, echoed); err != nil {
		return driver.ServiceAnswer{}, err
	}
	return driver.ServiceAnswer{Body: answer.Body}, nil
}

// Cancel cancels an attempt at an engine.
func (d *Driver) Cancel(ctx context.Context, target driver.Target, attemptID string) (err error) {
	defer func() { err = eris.Wrapf(err, "cancel at %s", target.EndpointID) }()

	ctx, cancel := timekeeper.WithTimeout(ctx, d.settings.ControlTimeout)
	defer cancel()
	var answer CancelMessage
	echoed := func() string { return answer.AttemptID }
	request := unaryCall{transport: d.control, path: PathCancel, attemptID: attemptID, maxAnswerBytes: d.settings.MaxLineBytes}
	return d.doUnary(ctx, target, request, CancelMessage{AttemptID: attemptID}, &answer, echoed)
}

// unaryCall is a POST with a single JSON answer.
type unaryCall struct {
	transport      *responselimiter.Transport
	path           string
	attemptID      string // must be echoed by the answer
	maxAnswerBytes int    // largest accepted body
}

func (d *Driver) doUnary(ctx context.Context, target driver.Target, x unaryCall, message, answer any, echoed func() string) error {
	if err := d.begin(); err != nil {
		return err
	}
	defer d.running.Done()

	r, err := newRequest(ctx, target.Address, x.path, message)
	if err != nil {
		return &classError{class: driver.ErrNotSent, cause: err}
	}
	var a attempt
	resp, err := a.roundTrip(x.transport, r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := x.transport.ReadAll(resp.Body, int64(x.maxAnswerBytes))
	if err != nil {
		a.reset()
		return &classError{class: driver.ErrOutcomeUnknown, cause: causeOf(ctx, err)}
	}
	if resp.StatusCode != http.StatusOK {
		return a.resetUnlessMatched(errorFromBody(body, x.attemptID))
	}
	if err := json.Unmarshal(body, answer); err != nil {
		a.reset()
		return &classError{class: driver.ErrOutcomeUnknown, cause: err}
	}
	if echoed() != x.attemptID {
		a.reset()
		return &classError{class: driver.ErrMismatchedAnswer, cause: errors.New("answer echoes " + strconv.Quote(echoed()))}
	}
	return nil
}

// resetUnlessMatched resets the connection if the answer did not echo this call's id.
func (a *attempt) resetUnlessMatched(err error) error {
	if errors.Is(err, driver.ErrMismatchedAnswer) || errors.Is(err, driver.ErrOutcomeUnknown) {
		a.reset()
	}
	return err
}

func errorFromBody(body []byte, attemptID string) error {
	var message ErrorMessage
	if err := json.Unmarshal(body, &message); err != nil {
		return &classError{class: driver.ErrOutcomeUnknown, cause: err}
	}
	return errorFromMessage(message, message.AttemptID, attemptID)
}

// Report fetches an engine's report. It is idempotent, so the transport may repeat it.
func (d *Driver) Report(ctx context.Context, target driver.Target, cacheSequence int64) (report driver.Report, err error) {
	defer func() { err = eris.Wrapf(err, "report of %s", target.EndpointID) }()

	if err := d.begin(); err != nil {
		return report, err
	}
	defer d.running.Done()
	ctx, cancel := timekeeper.WithTimeout(ctx, d.settings.ControlTimeout)
	defer cancel()
	query := url.Values{QueryCacheSequence: {strconv.FormatInt(cacheSequence, 10)}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address+PathReport+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return report, &classError{class: driver.ErrNotSent, cause: err}
	}
	resp, err := d.control.RoundTrip(r)
	if err != nil {
		return report, &classError{class: driver.ErrOutcomeUnknown, cause: causeOf(ctx, err)}
	}
	defer resp.Body.Close()
	body, err := d.control.ReadAll(resp.Body, int64(d.settings.MaxReportBytes))
	if err != nil {
		return report, &classError{class: driver.ErrOutcomeUnknown, cause: causeOf(ctx, err)}
	}
	if resp.StatusCode != http.StatusOK {
		return report, &classError{class: driver.ErrOutcomeUnknown, cause: errors.New(resp.Status)}
	}
	if err := json.Unmarshal(body, &report); err != nil {
		return driver.Report{}, &classError{class: driver.ErrOutcomeUnknown, cause: err}
	}
	return report, nil
}
