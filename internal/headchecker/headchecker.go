// Package headchecker decides whether the head of an HTTP/1 response that net/http has parsed is valid.
// net/http accepts heads that HTTP does not allow.
//
// # Usage
//
//	resp, err := http.ReadResponse(reader, r)
//	if err == nil {
//		err = headchecker.CheckStatus(resp.StatusCode)
//	}
package headchecker

import (
	"errors"
	"fmt"
)

// ErrInvalid is wrapped by all errors of this package.
var ErrInvalid = errors.New("invalid head of a response")

// Valid status codes (RFC 9110, 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckStatus returns an error for a status that HTTP does not have. What follows such a status can't be trusted.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrInvalid, status)
	}
	return nil
}
