package httpdriver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/responselimiter"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// lineBufferBytes is the read buffer of each open stream. It holds the lines of a few
// tokens. A buffer for the longest line would take 64 KiB in each of thousands of streams,
// and would hardly ever be filled.
const lineBufferBytes = 1 << 10

var errLineTooLong = error(&responselimiter.ExceededError{Limit: responselimiter.EventBytes})

// lineReader reads the lines of one streamed answer. It fails on a line that belongs to
// another attempt.
type lineReader struct {
	reader       *bufio.Reader
	attemptID    string
	maxLineBytes int
}

func newLineReader(r io.Reader, attemptID string, maxLineBytes int) lineReader {
	return lineReader{
		reader:    bufio.NewReaderSize(r, min(lineBufferBytes, maxLineBytes)),
		attemptID: attemptID, maxLineBytes: maxLineBytes,
	}
}

// hasBufferedLine reports whether a whole line can be read without blocking.
func (l lineReader) hasBufferedLine() bool {
	b, err := l.reader.Peek(l.reader.Buffered())
	return err == nil && bytes.IndexByte(b, '\n') >= 0
}

// next reads a line. Its errors are of class ErrOutcomeUnknown or ErrMismatchedAnswer, never
// io.EOF.
func (l lineReader) next() (line Line, err error) {
	raw, err := l.readLine()
	switch {
	case errors.Is(err, errLineTooLong):
		return line, &classError{class: driver.ErrOutcomeUnknown, cause: errLineTooLong}
	case err != nil: // including io.EOF: a complete answer ends with an explicit line
		return line, &classError{class: driver.ErrOutcomeUnknown, cause: fmt.Errorf("stream broke off: %w", toUnexpectedEOF(err))}
	}
	if err := json.Unmarshal(raw, &line); err != nil {
		return Line{}, &classError{class: driver.ErrOutcomeUnknown, cause: err}
	}
	if line.AttemptID != l.attemptID {
		return Line{}, &classError{class: driver.ErrMismatchedAnswer, cause: fmt.Errorf("line echoes %q", line.AttemptID)}
	}
	return line, nil
}

// readLine returns the next line, which is valid until the next read. It copies only lines
// that are longer than the buffer.
func (l lineReader) readLine() (raw []byte, err error) {
	raw, err = l.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return raw, err
	}
	long := bytes.Clone(raw)
	for errors.Is(err, bufio.ErrBufferFull) && len(long) < l.maxLineBytes {
		raw, err = l.reader.ReadSlice('\n')
		long = append(long, raw...)
	}
	if len(long) > l.maxLineBytes || errors.Is(err, bufio.ErrBufferFull) {
		return nil, errLineTooLong
	}
	return long, err
}

// toUnexpectedEOF replaces io.EOF, which a caller would mistake for the end of a complete
// answer.
func toUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// answerReader reads a streamed answer.
type answerReader struct {
	ctx         context.Context
	cancel      context.CancelCauseFunc
	attempt     *attempt
	body        io.ReadCloser
	lineReader  lineReader
	limits      *responselimiter.Counter
	idleTimeout time.Duration
	idleTimer   *timekeeper.Timer // cancels the answer if no data arrives; stopped while there is no pending read
}

// openStream sends a POST and returns its streamed answer. The caller must call finish or
// abort on it.
func (d *Driver) openStream(ctx context.Context, target driver.Target, path string, call driver.GenerateCall) (_ *answerReader, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &answerReader{ctx: ctx, cancel: cancel, attempt: &attempt{}, idleTimeout: d.settings.StreamIdleTimeout, limits: d.settings.ExceededLimits}
	// The engine sends the headers when it accepts the call, so the idle timeout also
	// applies to the wait for them.
	s.idleTimer = timekeeper.AfterFunc(s.idleTimeout, func() { cancel(errStreamIdle) })
	defer func() {
		s.idleTimer.Stop()
		if err != nil {
			cancel(nil)
		}
	}()

	r, err := newRequest(ctx, target.Address, path, call)
	if err != nil {
		return nil, &classError{class: driver.ErrNotSent, cause: err}
	}
	resp, err := s.attempt.roundTrip(d.work, r)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		body, err := d.work.ReadAll(resp.Body, int64(d.settings.MaxLineBytes))
		if err != nil {
			return nil, s.attempt.fail(causeOf(ctx, err))
		}
		return nil, s.attempt.resetUnlessMatched(errorFromBody(body, call.AttemptID))
	}
	s.body = resp.Body
	s.lineReader = newLineReader(resp.Body, call.AttemptID, d.settings.MaxLineBytes)
	return s, nil
}

// next returns the next line that is not a heartbeat. A heartbeat restarts the idle
// timeout.
func (s *answerReader) next() (Line, error) {
	for {
		line, err := s.read()
		if err != nil || line.Kind != LineAlive {
			return line, err
		}
	}
}

func (s *answerReader) read() (Line, error) {
	if s.lineReader.hasBufferedLine() {
		return s.lineReader.next()
	}
	s.idleTimer.Reset(s.idleTimeout)
	line, err := s.lineReader.next()
	s.idleTimer.Stop()
	if errors.Is(err, errLineTooLong) {
		s.limits.CountError(responselimiter.ClientEndpoint, err)
	}
	if cause := context.Cause(s.ctx); err != nil && cause != nil {
		return line, &classError{class: driver.ErrOutcomeUnknown, cause: cause}
	}
	return line, err
}

// finish returns the connection to the pool if nothing follows the last line, and resets
// it otherwise.
func (s *answerReader) finish() {
	s.idleTimer.Reset(s.idleTimeout)
	n, err := s.lineReader.reader.Peek(1)
	s.idleTimer.Stop()
	if len(n) > 0 || !errors.Is(err, io.EOF) {
		s.abort()
		return
	}
	s.body.Close()
	s.cancel(nil)
}

// abort resets the connection, which makes the engine stop, and waits until the
// transport has finished with the body.
func (s *answerReader) abort() {
	s.cancel(nil)
	s.attempt.reset()
	s.body.Close()
}

// Generate starts a generation.
func (d *Driver) Generate(ctx context.Context, target driver.Target, call driver.GenerateCall) (_ driver.GenerateStream, err error) {
	defer func() { err = eris.Wrapf(err, "generate at %s", target.EndpointID) }()

	if err := d.begin(); err != nil {
		return nil, err
	}
	answer, err := d.openStream(ctx, target, PathGenerate, call)
	if err != nil {
		d.running.Done()
		return nil, err
	}
	return &stream{
		answer:  answer,
		checker: checker{nextSequence: len(call.ResumeTokens), maxTokens: call.MaxOutputTokens},
		onClose: d.running.Done,
	}, nil
}

// stream is the answer to a generation. Next must not be called concurrently.
type stream struct {
	answer  *answerReader
	checker checker
	err     error // returned by all later calls of Next; io.EOF after the end
	once    sync.Once
	onClose func()
}

// Next returns the next event.
func (s *stream) Next() (event driver.Event, err error) {
	if s.err != nil {
		return nil, s.err
	}
	line, err := s.answer.next()
	if err == nil {
		event, err = s.checker.event(line)
	}
	if err != nil {
		s.err = eris.Wrap(err, "read generation")
		s.answer.attempt.reset() // later lines may be invalid, too
		return nil, s.err
	}
	if _, ok := event.(driver.End); ok {
		s.err = io.EOF
	}
	return event, nil
}

// Close closes the stream. A generation that has not ended is cancelled.
func (s *stream) Close() error {
	s.once.Do(func() {
		if errors.Is(s.err, io.EOF) {
			s.answer.finish()
		} else {
			s.answer.abort()
		}
		s.onClose()
	})
	return nil
}

// checker verifies the order of the lines of a generation.
type checker struct {
	nextSequence int // expected sequence number of the next token
	maxTokens    int // limit for the whole output; 0: none
}

func (c *checker) event(line Line) (driver.Event, error) {
	switch line.Kind {
	case LineToken:
		return c.token(line)
	case LineEnd:
		if line.OutputTokens != c.nextSequence {
			return nil, invalidStream("end counts %d tokens after %d", line.OutputTokens, c.nextSequence)
		}
		return driver.End{
			OutputTokens: line.OutputTokens,
			ReusedTokens: line.ReusedTokens,
			PromptTokens: line.PromptTokens,
		}, nil
	case LineError:
		return nil, lineError(line)
	default:
		return nil, invalidStream("line of kind %q", line.Kind)
	}
}

func (c *checker) token(line Line) (driver.Event, error) {
	if line.Sequence != c.nextSequence {
		return nil, invalidStream("token %d where %d was due", line.Sequence, c.nextSequence)
	}
	if c.maxTokens > 0 && c.nextSequence >= c.maxTokens {
		return nil, invalidStream("more than %d tokens", c.maxTokens)
	}
	c.nextSequence++
	return driver.Token{Sequence: line.Sequence, Text: line.Text}, nil
}

func invalidStream(format string, args ...any) error {
	return &classError{class: driver.ErrOutcomeUnknown, cause: fmt.Errorf(format, args...)}
}

// lineError returns the error of a call that failed within its stream.
func lineError(line Line) error {
	if line.Error == nil {
		return invalidStream("error line without an error")
	}
	return errorFromMessage(*line.Error, line.AttemptID, line.AttemptID)
}

// Prefill computes a prompt's KV cache and exports it.
func (d *Driver) Prefill(ctx context.Context, target driver.Target, call driver.GenerateCall) (_ driver.KVHandle, err error) {
	defer func() { err = eris.Wrapf(err, "prefill at %s", target.EndpointID) }()

	if err := d.begin(); err != nil {
		return driver.KVHandle{}, err
	}
	defer d.running.Done()
	answer, err := d.openStream(ctx, target, PathPrefill, call)
	if err != nil {
		return driver.KVHandle{}, err
	}
	handle, err := readHandle(answer)
	if err != nil {
		answer.abort()
		return driver.KVHandle{}, err
	}
	answer.finish()
	return handle, nil
}

func readHandle(s *answerReader) (driver.KVHandle, error) {
	line, err := s.next()
	switch {
	case err != nil:
		return driver.KVHandle{}, err
	case line.Kind == LineError:
		return driver.KVHandle{}, lineError(line)
	case line.Kind != LineHandle || line.Handle == nil:
		return driver.KVHandle{}, invalidStream("line of kind %q", line.Kind)
	default:
		return *line.Handle, nil
	}
}
