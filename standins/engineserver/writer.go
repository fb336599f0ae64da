package engineserver

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/endivemast/endivemast/internal/httpdriver"
)

const mismatchedText = "c0ffee "

// lineWriter writes a streamed answer and applies its faults.
type lineWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	faults  streamFaults
	id      string // attempt id in the lines
	prefix  []byte // of each line
	tokens  int    // written
	buf     bytes.Buffer
}

func newLineWriter(w http.ResponseWriter, faults streamFaults, attemptID, otherID string) *lineWriter {
	if faults.cross {
		attemptID = otherID
	}
	id, _ := json.Marshal(attemptID) // a string always has an encoding
	prefix := append([]byte(`{"attempt_id":`), id...)
	return &lineWriter{w: w, control: http.NewResponseController(w), faults: faults, id: attemptID, prefix: prefix}
}

// write writes lines and flushes them; truncated is true when the stream is to be
// truncated here. Write errors end the request's context.
func (o *lineWriter) write(lines []httpdriver.Line) (truncated bool) {
	if o.faults.lose || len(lines) == 0 {
		return false
	}
	o.buf.Reset()
	for _, line := range lines {
		if o.faults.truncate && o.truncatesAt(line) {
			o.send()
			return true
		}
		o.appendFaulty(line)
	}
	o.send()
	return false
}

func (o *lineWriter) truncatesAt(line httpdriver.Line) bool {
	switch line.Kind {
	case httpdriver.LineAlive:
		return false
	case httpdriver.LineToken:
		return o.tokens >= o.faults.truncateAfter && o.faults.truncateAfter > 0
	default:
		return true
	}
}

func (o *lineWriter) appendFaulty(line httpdriver.Line) {
	if line.Kind != httpdriver.LineToken {
		o.append(line)
		return
	}
	o.tokens++
	if o.tokens != 2 || !o.faults.skip {
		o.append(line)
	}
	if o.tokens == 2 && o.faults.duplicate {
		o.append(line)
	}
}

// append writes a line. Token lines, which are nearly all lines, are encoded
// without reflection.
func (o *lineWriter) append(line httpdriver.Line) {
	if line.Kind == httpdriver.LineToken {
		o.buf.Write(o.prefix)
		o.buf.WriteString(`,"kind":"token","sequence":`)
		o.buf.WriteString(strconv.Itoa(line.Sequence))
		o.buf.WriteString(`,"text":"`)
		o.buf.WriteString(o.text(line)) // hexadecimal digits and a space
		o.buf.WriteString("\"}\n")
		return
	}
	line.AttemptID = o.id
	_ = json.NewEncoder(&o.buf).Encode(line)
}

// text returns a token's text. A mismatched answer has a different text, so
// that a host which passes it on sends a wrong answer that tests detect.
func (o *lineWriter) text(line httpdriver.Line) string {
	if o.faults.cross {
		return mismatchedText
	}
	return line.Text
}

func (o *lineWriter) send() {
	_, _ = o.w.Write(o.buf.Bytes())
	o.flush()
}

func (o *lineWriter) flush() { _ = o.control.Flush() }
