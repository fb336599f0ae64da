// Package headchecker decides whether the head of an HTTP/1 response that net/http has parsed is valid.
// net/http accepts heads that HTTP does not allow.
//
// # Usage
//
//	resp, err := http.ReadResponse(reader, r)
//	if err == nil {
//		err = headchecker.Check(resp.StatusCode, resp.Header)
//	}
package headchecker

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalid is wrapped by all errors of this package.
var ErrInvalid = errors.New("invalid head of a response")

// Valid status codes (RFC 9110, 15).
const (
	minStatus = 100
	maxStatus = 599
)

// maxNameBytes limits the part of a name that an error quotes. Errors are logged.
const maxNameBytes = 200

// Check returns an error for a status, or the name of a field, that HTTP does not have. What follows such a
// head can't be trusted.
//
// net/http rejects names with other characters than a space itself. A name with a space is a field of its own to
// it, so that "Content-Length : 9" has no effect.
func Check(status int, header http.Header) error {
	if status < minStatus || status > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrInvalid, status)
	}
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %.*q", ErrInvalid, maxNameBytes, name)
		}
	}
	return nil
}
