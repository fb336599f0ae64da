package responselimiter

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"

	"github.com/endivemast/endivemast/internal/endchecker"
	"github.com/endivemast/endivemast/internal/headchecker"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// Transport is an http.Transport with limits on heads. The limit in time applies to the informational
// heads and the final one together, from the first byte on. Invalid heads (headchecker) and bodies that
// are cut by the failure of their connection (endchecker) are errors, too.
//
// net/http limits the final head and, since the informational ones are counted here, each of those
// separately. Together they have at most twice MaxHeadBytes.
type Transport struct {
	Base    *http.Transport
	Client  string // as a label of the metric
	Counter *Counter
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a Transport. It sets the limit of base on heads unless one is set, and has the
// connections of base.DialContext, which is required, checked by endchecker.
func NewTransport(base *http.Transport, client string) *Transport {
	if base.MaxResponseHeaderBytes == 0 {
		base.MaxResponseHeaderBytes = MaxHeadBytes // the default is 10 MB
	}
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err // a non-nil net.Conn must not hold a nil *endchecker.Conn
		}
		return endchecker.New(conn), nil
	}
	return &Transport{Base: base, Client: client}
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper. The error of a response that exceeds a limit, also that of
// reading its body, is an ExceededError.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	h := &headLimiter{cancel: cancel}
	var conn atomic.Pointer[endchecker.Conn] // the latest one: net/http may repeat the request
	trace := &httptrace.ClientTrace{
		GotFirstResponseByte: h.begin,
		Got1xxResponse:       h.gotInformational,
		GotConn: func(info httptrace.GotConnInfo) {
			checked, _ := info.Conn.(*endchecker.Conn)
			conn.Store(checked)
		},
	}
	resp, err := t.Base.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	h.end()
	if err != nil {
		err = h.error(err)
		cancel(nil)
		t.Counter.CountError(t.Client, err)
		return nil, err
	}
	if err := headchecker.Check(resp.StatusCode, resp.Header); err != nil {
		cancel(err)
		resp.Body.Close()
		return nil, err
	}
	body := &limitedBody{ReadCloser: resp.Body, transport: t, cancel: cancel}
	if endsWithConnection(resp) {
		body.conn = conn.Load()
	}
	resp.Body = body
	return resp, nil
}

// endsWithConnection reports whether a response has neither a length nor chunks.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed && resp.Body != http.NoBody
}

// ReadAll reads the body of a response of at most maxBytes.
func (t *Transport) ReadAll(body io.Reader, maxBytes int64) ([]byte, error) {
	data, err := ReadAll(body, maxBytes)
	if limit, ok := ExceededLimit(err); ok && limit == BodyBytes {
		t.Counter.Count(t.Client, limit) // the body counts the others
	}
	return data, err
}

// headLimiter ends a call whose response exceeds a limit on heads.
type headLimiter struct {
	cancel   context.CancelCauseFunc
	timer    atomic.Pointer[timekeeper.Timer]
	hasEnded atomic.Bool
	exceeded atomic.Pointer[ExceededError]
	heads    int // informational ones; used by the connection's reader only
	bytes    int // of them
}

// begin is called when the first byte of the first head has arrived.
func (h *headLimiter) begin() {
	timer := timekeeper.AfterFunc(MaxHeadTime, func() { _ = h.exceed(HeadTime) })
	if earlier := h.timer.Swap(timer); earlier != nil {
		earlier.Stop() // net/http has repeated the request
	}
	if h.hasEnded.Load() {
		h.end() // the caller has given up meanwhile
	}
}

func (h *headLimiter) end() {
	h.hasEnded.Store(true)
	if timer := h.timer.Load(); timer != nil {
		timer.Stop()
	}
}

func (h *headLimiter) exceed(limit Limit) error {
	err := &ExceededError{limit}
	h.exceeded.CompareAndSwap(nil, err)
	h.cancel(err)
	return err
}

// gotInformational is called for each informational head. net/http then starts to count the bytes
// of the next head from 0.
func (h *headLimiter) gotInformational(status int, header textproto.MIMEHeader) error {
	if err := headchecker.Check(status, http.Header(header)); err != nil {
		return err // fails the call
	}
	h.heads++
	for name, values := range header {
		for _, value := range values {
			h.bytes += len(name) + len(value) + len(": \r\n")
		}
	}
	switch {
	case h.heads > MaxInformationalHeads:
		return h.exceed(InformationalHeads)
	case h.bytes > MaxHeadBytes:
		return h.exceed(HeadBytes)
	default:
		return nil
	}
}

// error returns the exceeded limit that has caused an error, or the error.
func (h *headLimiter) error(err error) error {
	if exceeded := h.exceeded.Load(); exceeded != nil {
		return exceeded
	}
	if strings.Contains(err.Error(), "server response headers exceeded") { // net/http exports no such error
		return &ExceededError{HeadBytes}
	}
	return err
}

// limitedBody names the limits that net/http applies to the framing of a body, and checks the end of one
// that ends with its connection.
type limitedBody struct {
	io.ReadCloser
	transport *Transport
	conn      *endchecker.Conn // nil: the body does not end with it
	cancel    context.CancelCauseFunc
	isCounted bool
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.conn != nil && errors.Is(err, io.EOF) {
		err = cmp.Or(b.conn.CheckEnd(), err)
	}
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	err = BodyError(err)
	if !b.isCounted {
		b.isCounted = true
		b.transport.Counter.CountError(b.transport.Client, err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *limitedBody) Close() error {
	defer b.cancel(nil)
	return b.ReadCloser.Close()
}
