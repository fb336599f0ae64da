// Package transporter sends HTTP/1.1 requests to endpoints over pooled connections,
// each request at most once.
//
// It replaces the client of net/http, which retries some requests by itself and takes
// the next bytes on a pooled connection for the answer. Endpoints may send an answer
// late, twice, or followed by extra bytes, and many requests must not run twice.
// Therefore a request is written to one connection only, its answer has to echo the
// request's id, and a connection with unread bytes is not used again.
//
// # Usage
//
//	t := transporter.New(transporter.Settings{IDHeader: "Request-Id"})
//	defer t.Close()
//	answer, err := t.Send(ctx, "10.0.0.1:8080", transporter.Request{...})
//	defer answer.Body.Close() // before io.EOF: cancels the request
//
// Errors are of type *SendError, which reports whether any byte may have been sent.
package transporter

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/endivemast/endivemast/internal/endchecker"
	"github.com/endivemast/endivemast/internal/responselimiter"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// Defaults of Settings.
const (
	// DefaultDialTimeout leaves time for one lost SYN, which TCP retransmits after 1 s.
	DefaultDialTimeout = 1200 * time.Millisecond
	// DefaultUserTimeout is how long the kernel retransmits unacknowledged bytes. It is
	// longer than the recovery from two consecutive lost packets takes.
	DefaultUserTimeout = 5 * time.Second
	// DefaultIdleTimeout is how long an idle connection is kept if the endpoint sends no
	// Keep-Alive timeout.
	DefaultIdleTimeout = 30 * time.Second
	// DefaultMaxConnections limits the connections to one address.
	DefaultMaxConnections = 1024
	// maxMismatchedAnswers is how many answers to other requests are skipped on one
	// connection. A faulty endpoint sends one extra answer, not many.
	maxMismatchedAnswers = 3
	// maxSkippedBodyBytes limits the body of a skipped answer.
	maxSkippedBodyBytes = 1 << 20
	// maxInlineBodyBytes is the size up to which a body is written before its answer is
	// read. It fits into any socket buffer. The write of a longer body may block when the
	// endpoint has answered and reads no more.
	maxInlineBodyBytes = 2 << 10
	// maxHeadBytes, maxInformationalHeads and maxHeadTime limit the head of an answer.
	maxHeadBytes          = responselimiter.MaxHeadBytes
	maxInformationalHeads = responselimiter.MaxInformationalHeads
	maxHeadTime           = responselimiter.MaxHeadTime
	readBufferBytes       = 4 << 10
	// expiryMargin is how long before the endpoint's keep-alive timeout a connection is
	// dropped, so that no request is sent while the endpoint closes it.
	expiryMargin = 500 * time.Millisecond
)

// Causes of a SendError.
var (
	ErrClosed             = errors.New("transporter is closed")
	ErrTooManyConnections = errors.New("all connections to the endpoint are in use")
	ErrMismatchedAnswer   = errors.New("answer belongs to another request")
	ErrMalformed          = errors.New("endpoint sent bytes that are no answer")
	ErrNotNeeded          = errors.New("request is not wanted any more")
	ErrNoIdleConnection   = errors.New("no idle connection to the endpoint is open")
	errClosedBeforeAnswer = errors.New("connection ended before the answer")
)

// SendError is the error of a request that got no answer.
type SendError struct {
	// Sent is false if no byte of the request can have been sent.
	Sent  bool
	Cause error
}

func (e *SendError) Error() string {
	if e.Sent {
		return "request sent and not answered: " + e.Cause.Error()
	}
	return "request not sent: " + e.Cause.Error()
}

func (e *SendError) Unwrap() error { return e.Cause }

// Settings are the limits of a Transporter. A zero value selects the default.
type Settings struct {
	DialTimeout    time.Duration
	UserTimeout    time.Duration
	IdleTimeout    time.Duration
	MaxConnections int // per address
	// Dial opens a connection; nil: TCP. Data of the connection may stay unacknowledged for
	// userTimeout.
	Dial func(ctx context.Context, address string, timeout, userTimeout time.Duration) (net.Conn, error)
	// IDHeader is the header in which an answer echoes its request's id; an answer with an id is
	// not that of a request without one. If it is empty, ids are not checked.
	IDHeader string
	// OnLimitExceeded is called for each answer that exceeds a limit; nil: no call.
	OnLimitExceeded func(limit responselimiter.Limit)
}

// Request is an HTTP request to an endpoint.
type Request struct {
	ID     string // must be echoed by the answer; empty: not checked
	Method string
	Path   string // including the query
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection sends the request over a new connection, which is closed afterwards.
	NewConnection bool
	// IdleConnection sends the request over an idle connection. Without one it fails with
	// ErrNoIdleConnection.
	IdleConnection bool
	// IsStillNeeded is called once a connection is open, before anything is written. If it
	// returns false, nothing is sent. Nil means that the request is always needed.
	IsStillNeeded func() bool
}

// Answer is the head of an answer with a body that is read as it arrives.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // bytes of the body; -1: unknown
	Close  bool  // the endpoint announces that it closes the connection
	// EndsWithConnection is true if the body has neither a length nor chunks, so that only the end of
	// the connection ends it.
	EndsWithConnection bool
	Body               io.ReadCloser
}

// Transporter is safe for concurrent use.
type Transporter struct {
	settings Settings

	mu        sync.Mutex
	pools     map[string]*pool
	closed    bool
	lastSweep time.Time

	exchanges sync.WaitGroup // running exchanges
}

// pool holds the connections to one address.
type pool struct {
	idle      []*conn // the most recently used one is last
	openCount int
}

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	address   string
	checked   *endchecker.Conn // requests are written to it
	source    *source
	reader    *bufio.Reader // reads from source
	expiresAt time.Time     // not used for a new request after this time
}

// New creates a Transporter.
func New(settings Settings) *Transporter {
	setDefault(&settings.DialTimeout, DefaultDialTimeout)
	setDefault(&settings.UserTimeout, DefaultUserTimeout)
	setDefault(&settings.IdleTimeout, DefaultIdleTimeout)
	setDefault(&settings.MaxConnections, DefaultMaxConnections)
	if settings.Dial == nil {
		settings.Dial = dialTCP
	}
	return &Transporter{settings: settings, pools: map[string]*pool{}}
}

func setDefault[T int | time.Duration](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}

// Close closes idle connections, rejects new requests and waits for running ones.
func (t *Transporter) Close() error {
	t.mu.Lock()
	t.closed = true
	for _, p := range t.pools {
		p.closeIdle()
	}
	t.mu.Unlock()
	t.exchanges.Wait()
	return nil
}

// DropIdle closes all idle connections. After a suspension of the host they may be broken
// without having been closed.
func (t *Transporter) DropIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, p := range t.pools {
		p.closeIdle()
		if p.openCount == 0 {
			delete(t.pools, address)
		}
	}
}

// HasIdle reports whether an idle connection to an address is open. Connections that the
// endpoint has closed are discarded.
func (t *Transporter) HasIdle(address string) bool {
	for {
		c, err := t.popIdle(address)
		if c == nil || err != nil {
			return false
		}
		if !isStillIdle(c.Conn) {
			t.discard(c)
			continue
		}
		t.putIdle(c, time.Until(c.expiresAt))
		return true
	}
}

func (p *pool) closeIdle() {
	for _, c := range p.idle {
		_ = c.Close() // no request is lost with an idle connection
		p.openCount--
	}
	p.idle = nil
}

// Send sends a request and returns the head of its answer. The connection is reset if ctx
// ends before the body has been read to its end.
func (t *Transporter) Send(ctx context.Context, address string, r Request) (*Answer, error) {
	c, err := t.acquire(ctx, address, &r)
	if err != nil {
		return nil, &SendError{Cause: causeOf(ctx, err)}
	}
	if r.IsStillNeeded != nil && !r.IsStillNeeded() {
		t.discard(c)
		return nil, &SendError{Cause: ErrNotNeeded}
	}
	t.exchanges.Add(1)
	x := &exchange{transporter: t, conn: c, request: r, isSingleUse: r.NewConnection}
	x.stopContextWatch = context.AfterFunc(ctx, func() { c.reset() })
	answer, failure := x.run()
	if failure != nil {
		x.end(notReusable)
		failure.Cause = causeOf(ctx, failure.Cause)
		return nil, failure
	}
	return answer, nil
}

// Connect opens a connection and keeps it for a later request.
func (t *Transporter) Connect(ctx context.Context, address string) error {
	c, err := t.open(ctx, address)
	if err != nil {
		return &SendError{Cause: causeOf(ctx, err)}
	}
	t.putIdle(c, t.settings.IdleTimeout)
	return nil
}

// causeOf returns the cancellation cause of ctx if it has ended, and err otherwise.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// acquire returns a pooled connection that is still idle, or opens one.
func (t *Transporter) acquire(ctx context.Context, address string, r *Request) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	for !r.NewConnection {
		c, err := t.popIdle(address)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if isStillIdle(c.Conn) {
			return c, nil
		}
		t.discard(c)
	}
	if r.IdleConnection {
		return nil, ErrNoIdleConnection
	}
	return t.open(ctx, address)
}

// open opens a connection within the connection limit of its address.
func (t *Transporter) open(ctx context.Context, address string) (*conn, error) {
	if err := t.reserve(address); err != nil {
		return nil, err
	}
	c, err := t.dial(ctx, address)
	if err != nil {
		t.release(address)
		return nil, err
	}
	return c, nil
}

func (t *Transporter) popIdle(address string) (*conn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, ErrClosed
	}
	p := t.pools[address]
	now := time.Now()
	for p != nil && len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if now.Before(c.expiresAt) {
			return c, nil
		}
		_ = c.Close() // no request is lost with an idle connection
		p.openCount--
	}
	return nil, nil
}

func (t *Transporter) reserve(address string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return ErrClosed
	}
	p := t.pools[address]
	if p == nil {
		p = &pool{}
		t.pools[address] = p
	}
	if p.openCount >= t.settings.MaxConnections {
		return ErrTooManyConnections
	}
	p.openCount++
	return nil
}

func (t *Transporter) release(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pools[address]; p != nil {
		p.openCount--
		if p.openCount == 0 {
			delete(t.pools, address)
		}
	}
}

func (t *Transporter) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := t.settings.Dial(ctx, address, t.settings.DialTimeout, t.settings.UserTimeout)
	if err != nil {
		return nil, err
	}
	from := &source{conn: raw}
	return &conn{Conn: raw, address: address, checked: endchecker.New(raw), source: from, reader: bufio.NewReaderSize(from, readBufferBytes)}, nil
}

func dialTCP(ctx context.Context, address string, timeout, userTimeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1, Control: UserTimeout(userTimeout)}
	ctx, cancel := timekeeper.WithTimeout(ctx, timeout)
	defer cancel()
	return dialer.DialContext(ctx, "tcp", address)
}

// putIdle returns a connection to its pool after a complete answer.
func (t *Transporter) putIdle(c *conn, idleTimeout time.Duration) {
	c.expiresAt = time.Now().Add(idleTimeout)
	t.mu.Lock()
	p := t.pools[c.address]
	if t.closed || p == nil {
		t.mu.Unlock()
		t.discard(c)
		return
	}
	p.idle = append(p.idle, c)
	t.sweepLocked()
	t.mu.Unlock()
}

// sweepLocked closes connections that have been idle for too long, and removes the pools
// of addresses that are no longer used.
func (t *Transporter) sweepLocked() {
	now := time.Now()
	if now.Sub(t.lastSweep) < t.settings.IdleTimeout/8 {
		return
	}
	t.lastSweep = now
	for address, p := range t.pools {
		remaining := p.idle[:0]
		for _, c := range p.idle {
			if now.Before(c.expiresAt) {
				remaining = append(remaining, c)
				continue
			}
			_ = c.Close() // no request is lost with an idle connection
			p.openCount--
		}
		clear(p.idle[len(remaining):])
		p.idle = remaining
		if p.openCount == 0 {
			delete(t.pools, address)
		}
	}
}

func (t *Transporter) discard(c *conn) {
	c.reset()
	t.release(c.address)
}

// reset closes the connection and discards what the kernel has not sent yet. Otherwise the
// kernel would deliver an abandoned request after a network partition has ended.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0) // best effort: the connection is closed in any case
	}
	_ = c.Close() // the unsent bytes are discarded on purpose
}

// idleTimeoutFrom returns how long a connection may be kept according to the Keep-Alive
// header, less expiryMargin, or defaultTimeout without such a header.
func idleTimeoutFrom(header http.Header, defaultTimeout time.Duration) time.Duration {
	for _, value := range header.Values("Keep-Alive") {
		if seconds, ok := timeoutParameter(value); ok {
			return max(time.Duration(seconds)*time.Second-expiryMargin, 0)
		}
	}
	return defaultTimeout
}

// timeoutParameter returns the value of timeout=N in a Keep-Alive header, in seconds.
func timeoutParameter(value string) (seconds int, ok bool) {
	for part := range splitParameters(value) {
		name, number, found := cutTrimmed(part, '=')
		if !found || name != "timeout" {
			continue
		}
		seconds, err := strconv.Atoi(number)
		return seconds, err == nil && seconds >= 0
	}
	return 0, false
}
