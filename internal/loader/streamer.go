package loader

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Names of the events of a streamed answer.
const (
	eventToken   = "token"
	eventEnd     = "end"
	eventFailure = "failure"
)

// stream requests an answer as server-sent events and checks each token.
func (s *sender) stream(ctx context.Context, address string, class *Class, body generateBody, want []string) answer {
	response, err := s.post(ctx, address, classPath(class, "stream"), class.Tenant, "", body)
	if err != nil {
		return fromTransport(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fromFailure(ctx, response)
	}
	checker := streamChecker{want: want}
	reader := bufio.NewReader(response.Body)
	for {
		event, err := readEvent(reader)
		if err != nil {
			result := fromTransport(ctx, err)
			result.tokens = checker.answer.tokens
			return result
		}
		if done := checker.add(event, time.Now()); done {
			return checker.finish(reader)
		}
	}
}

// streamChecker compares a stream with the expected tokens.
type streamChecker struct {
	want   []string
	answer answer
}

// add checks one event and reports whether the answer has ended.
func (c *streamChecker) add(event serverEvent, now time.Time) (done bool) {
	switch event.name {
	case eventToken:
		return c.addToken(event.data, now)
	case eventFailure:
		var failure failureBody
		if err := json.Unmarshal(event.data, &failure); err != nil {
			c.answer.kind, c.answer.detail = answerNoOutcome, err.Error()
			return true
		}
		intervals, tokens := c.answer.tokenIntervals, c.answer.tokens
		c.answer = fromFailureBody(failure, "in stream")
		c.answer.tokenIntervals, c.answer.tokens = intervals, tokens
		return true
	case eventEnd:
		if c.answer.tokens != len(c.want) {
			c.fail(answerWrong, fmt.Sprintf("ended after %d of %d tokens", c.answer.tokens, len(c.want)))
		}
		return true
	}
	return c.fail(answerWrong, "unknown event "+event.name)
}

func (c *streamChecker) addToken(data []byte, now time.Time) (done bool) {
	var token struct {
		Sequence int    `json:"sequence"`
		Text     string `json:"text"`
	}
	if err := json.Unmarshal(data, &token); err != nil {
		return c.fail(answerWrong, "malformed token "+truncate(string(data)))
	}
	switch {
	case token.Sequence < c.answer.tokens:
		return c.fail(answerDuplicated, fmt.Sprintf("token %d was received twice", token.Sequence))
	case token.Sequence > c.answer.tokens || token.Sequence >= len(c.want):
		return c.fail(answerWrong, fmt.Sprintf("token %d was received in place of token %d of %d", token.Sequence, c.answer.tokens, len(c.want)))
	case token.Text != c.want[token.Sequence]:
		return c.fail(answerWrong, fmt.Sprintf("token %d is %q, want %q", token.Sequence, token.Text, c.want[token.Sequence]))
	}
	if c.answer.tokens == 0 {
		c.answer.firstToken = now
	} else {
		c.answer.tokenIntervals = append(c.answer.tokenIntervals, float32(now.Sub(c.answer.lastToken).Seconds()*1e3))
	}
	c.answer.lastToken = now
	c.answer.tokens++
	return false
}

func (c *streamChecker) fail(kind answerKind, detail string) (done bool) {
	c.answer.kind, c.answer.detail = kind, detail
	return true
}

// finish reads to the end of the stream. An event after the end of a complete
// answer counts as a second answer.
func (c *streamChecker) finish(reader *bufio.Reader) answer {
	if c.answer.kind != answerComplete {
		return c.answer
	}
	c.answer.lastToken = time.Now()
	if event, err := readEvent(reader); err == nil {
		c.fail(answerDuplicated, "event "+event.name+" after the end")
	} else if !errors.Is(err, io.EOF) {
		c.answer.detail = "read after the end: " + err.Error()
	}
	return c.answer
}
