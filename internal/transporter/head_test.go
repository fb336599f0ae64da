package transporter

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/standins/opaqueserver"
)

// TestInvalidStatus guards against a status that HTTP does not have: an answer with it, or with a body that looks like another answer, is delivered.
func TestInvalidStatus(t *testing.T) {
	t.Parallel()
	whole := opaqueserver.Head("r1", 200, "Content-Length: 5") + "false"
	for _, status := range []string{"000", "001", "020", "099", "+20", "-00", "600", "700", "999"} {
		for name, before := range map[string]string{"alone": "", "after an informational answer": "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			for framing, answer := range map[string]string{
				"length":      fmt.Sprintf("Request-Id: r1\r\nContent-Length: %d\r\n\r\n", len(whole)) + whole,
				"unframed":    "Request-Id: r1\r\n\r\n" + whole,
				"no id":       "Content-Length: 0\r\n\r\n" + whole,
				"another id":  "Request-Id: r0\r\nContent-Length: 0\r\n\r\n" + whole,
				"no body":     "Request-Id: r1\r\nContent-Length: 0\r\n\r\n",
				"signed text": "Request-Id: r1\r\nServer-Signature: signed\r\nContent-Length: 4\r\n\r\ntext",
			} {
				t.Run(fmt.Sprintf("%s, %s, %s", status, name, framing), func(t *testing.T) {
					t.Parallel()
					endpoint := startEndpoint(t, func(x *opaqueserver.Exchange) {
						x.Write(before + "HTTP/1.1 " + status + " Odd\r\n" + answer)
						x.Close()
					})
					got, body, err := send(t, newTransporter(t), endpoint.Address(), request("r1"))
					assert.ErrorIs(t, err, ErrMalformed, "status %d, body %q", got, body)
					var failure *SendError
					assert.Assert(t, errors.As(err, &failure) && failure.Sent, "%v", err)
				})
			}
		}
	}
}

// TestInvalidFieldName guards against an answer in whose head the name of a field is none: such a line is passed on, or has no effect on the body.
func TestInvalidFieldName(t *testing.T) {
	t.Parallel()
	lines := map[string]string{
		"blank": "X Odd: 1", "blank before the colon": "Content-Length : 4", "tab before the colon": "Content-Length\t: 4",
		"coding, blank before the colon": "Transfer-Encoding : chunked", "blanks": "X  Odd  Name : 1", "tab": "X\tOdd: 1", "no name": ": 1",
		"no colon": "X-Odd", "blank before the id's colon": "Request-Id : r1", "letter that is not ASCII": "X-\xc3\x96dd: 1", "separator": "X(Odd): 1",
	}
	for b := range byte(' ') {
		if b != '\n' && b != '\t' {
			lines[fmt.Sprintf("control byte %#02x", b)] = "X" + string(rune(b)) + "Odd: 1"
			lines[fmt.Sprintf("control byte %#02x before the colon", b)] = "Content-Length" + string(rune(b)) + ": 4"
			lines[fmt.Sprintf("control byte %#02x first", b)] = string(rune(b)) + "X-Odd: 1"
		}
	}
	lines["DEL"] = "X\x7fOdd: 1"
	const status, id, length, body = "HTTP/1.1 200 OK\r\n", "Request-Id: r1\r\n", "Content-Length: 11\r\n", "whole\r\n\r\nend"
	for name, line := range lines {
		line += "\r\n"
		for place, answer := range map[string]string{
			"first":                status + line + id + length + "\r\n" + body,
			"between":              status + id + line + length + "\r\n" + body,
			"last":                 status + id + length + line + "\r\n" + body,
			"unframed":             status + id + line + "\r\n" + body,
			"informational answer": "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + status + id + length + "\r\n" + body,
			"no content":           "HTTP/1.1 204 No Content\r\n" + id + line + "\r\n",
		} {
			t.Run(name+", "+place, func(t *testing.T) {
				t.Parallel()
				endpoint := startEndpoint(t, func(x *opaqueserver.Exchange) { x.Write(answer); x.Close() })
				got, body, err := send(t, newTransporter(t), endpoint.Address(), request("r1"))
				assert.ErrorIs(t, err, ErrMalformed, "status %d, body %q", got, body)
				var failure *SendError
				assert.Assert(t, errors.As(err, &failure) && failure.Sent, "%v", err)
			})
		}
	}
}
