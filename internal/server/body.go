package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/endivemast/endivemast/internal/budgeter"
)

// firstBodyBytes is what is reserved for a body before its bytes arrive. The buffer grows with
// them, so that a client can't take memory by a Content-Length alone.
const firstBodyBytes = 64 << 10

// errNoAccount means that a request came over no connection of a limitedListener.
var errNoAccount = errors.New("request without a connection that is accounted for")

type accountKey struct{}

// accountFrom returns the account of a request; nil if it came over another listener.
func accountFrom(ctx context.Context) *budgeter.Account {
	account, _ := ctx.Value(accountKey{}).(*budgeter.Account)
	return account
}

// withAccount reserves memory for the parsed head of a request and passes the request on with its
// account. It answers refused requests with refuse.
func withAccount(budget *budgeter.Budget, next http.Handler, refuse func(w http.ResponseWriter, r *http.Request, err error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, finish, err := openAccount(budget, w, r)
		if err != nil {
			AnswerEarly(w, r, func() { refuse(w, r, err) })
			return
		}
		defer finish()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), accountKey{}, a)))
	})
}

// openAccount returns the account of a request, and what to call at its end. A request that shares
// its connection with others has an account of its own.
func openAccount(budget *budgeter.Budget, w http.ResponseWriter, r *http.Request) (a *budgeter.Account, finish func(), err error) {
	cost := requestCost(r)
	conn, _ := r.Context().Value(connKey{}).(*clientConn)
	if conn != nil && r.ProtoMajor > 1 {
		if err = conn.share(); err != nil {
			return nil, nil, err
		}
	}
	if conn == nil || r.ProtoMajor > 1 {
		control := http.NewResponseController(w)
		a, err = budget.Open(budgeter.NoConnection, func() { _ = control.SetReadDeadline(inThePast) })
		if err != nil {
			return nil, nil, err
		}
		finish = a.Close
	} else {
		a, finish = conn.account, conn.account.Finish
		counted := conn.endHead()
		a.Release(max(counted-cost, 0))
		cost = max(cost-counted, 0)
	}
	if err = a.Reserve(r.Context(), cost); err != nil {
		finish()
		return nil, nil, err
	}
	return a, finish, nil
}

// ReadBody reads the body of a request into memory that is reserved for it until the end of the
// request. The error is a *http.MaxBytesError if the body is larger than limit, one for which
// IsShortage is true, or that of the connection. Answer it with AnswerEarly.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) (body []byte, err error) {
	a := accountFrom(r.Context())
	if a == nil {
		return nil, errNoAccount
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, a.Begin(budgeter.Running)
	}
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if err := a.Begin(budgeter.Sending); err != nil {
		return nil, err
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout)) // a closed connection fails on the next read
	reader := bodyReader{account: a, source: r.Body, end: limit + 1}
	if r.ContentLength >= 0 {
		reader.end = r.ContentLength
	}
	body, err = reader.readAll(r.Context())
	switch {
	case err != nil && a.IsEvicted():
		return nil, budgeter.ErrEvicted
	case err != nil:
		return nil, err
	case int64(len(body)) > limit:
		a.Release(int64(cap(body)))
		return nil, &http.MaxBytesError{Limit: limit}
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, a.Begin(budgeter.Running)
}

// IsShortage reports whether a request was refused for lack of memory or connections.
func IsShortage(err error) bool {
	return errors.Is(err, budgeter.ErrExhausted) || errors.Is(err, budgeter.ErrEvicted) || errors.Is(err, budgeter.ErrTooManyConnections)
}

// bodyReader reads a body into a buffer that grows with it.
type bodyReader struct {
	account *budgeter.Account
	source  io.Reader
	end     int64 // in bytes, from where no more is read
	buffer  []byte
}

// readAll reads up to the end of the body. On an error it releases the memory.
func (b *bodyReader) readAll(ctx context.Context) (body []byte, err error) {
	defer func() {
		if err != nil {
			b.account.Release(int64(cap(b.buffer)))
		}
	}()
	if err := b.grow(ctx, min(b.end, firstBodyBytes)); err != nil {
		return nil, err
	}
	for {
		n, err := b.source.Read(b.buffer[len(b.buffer):cap(b.buffer)])
		b.buffer = b.buffer[:len(b.buffer)+n]
		b.account.Moved(n)
		switch {
		case errors.Is(err, io.EOF) || int64(len(b.buffer)) == b.end:
			return b.buffer, nil
		case err != nil:
			return nil, err
		}
		if len(b.buffer) == cap(b.buffer) {
			if err := b.grow(ctx, min(2*int64(cap(b.buffer)), b.end)); err != nil {
				return nil, err
			}
		}
	}
}

// grow replaces the buffer by a larger one.
func (b *bodyReader) grow(ctx context.Context, size int64) (err error) {
	if err := b.account.Reserve(ctx, size); err != nil {
		return err
	}
	buffer := make([]byte, len(b.buffer), size)
	copy(buffer, b.buffer)
	b.account.Release(int64(cap(b.buffer)))
	b.buffer = buffer
	return nil
}

// AnswerEarly sends an answer to a request whose body may still be on its way, and then discards
// the rest of it: a client that sends everything before it reads would otherwise find its
// connection reset.
func AnswerEarly(w http.ResponseWriter, r *http.Request, answer func()) {
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex() // HTTP/2 has no need of it
	if r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	answer()
	if control.Flush() != nil || r.Body == nil {
		return
	}
	if conn, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		conn.isLingering.Store(true)
	}
	_ = control.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, lingerBytes)) // the connection is closed in any case
}
