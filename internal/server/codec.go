package server

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"
)

// errTrailingData says that something follows the JSON value.
var errTrailingData = errors.New("data after the JSON value")

// bodyDecoder decodes a body that readBody has read.
type bodyDecoder struct{ body io.ReadCloser }

// decodeBody gives goa the decoder of a request: JSON, whatever the request's
// Content-Type says, since nothing else is spoken here.
func decodeBody(r *http.Request) goahttp.Decoder {
	return bodyDecoder{body: r.Body}
}

// Decode decodes the body. Errors are goa's, which go through to formatFailure
// with the field at fault.
func (d bodyDecoder) Decode(v any) error {
	body, ok := d.body.(*wholeBody)
	if !ok || len(body.data) == 0 {
		return io.EOF // goa's word for a missing body
	}
	err := unmarshalStrict(body.data, v)
	var mismatch *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &mismatch):
		return goa.InvalidFieldTypeError(mismatch.Field, mismatch.Value, mismatch.Type.String())
	default:
		return goa.DecodePayloadError(err.Error())
	}
}

// bodyEncoder encodes an answer.
type bodyEncoder struct{ w io.Writer }

// encodeBody gives goa the encoder of an answer: JSON, whatever the request's
// Accept says.
func encodeBody(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	return bodyEncoder{w: w}
}

// Encode writes the answer.
func (e bodyEncoder) Encode(v any) error {
	encoder := json.NewEncoder(e.w)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(v)
}

// acceptedFrom takes what would be accepted out of goa's message about a
// value, such as "value of body.kind must be one of "generate", "call" but got
// value "x"".
func acceptedFrom(message string) string {
	_, rest, ok := strings.Cut(message, " must be ")
	if !ok {
		return ""
	}
	accepted, _, _ := strings.Cut(rest, " but got")
	return accepted
}
