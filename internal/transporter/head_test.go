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
