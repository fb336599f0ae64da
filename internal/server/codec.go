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

// errTrailingData reports data after the JSON value.
var errTrailingData = errors.New("data after the JSON value")

// bodyDecoder decodes a body that readBody has buffered.
type bodyDecoder struct{ body io.ReadCloser }

// decodeBody returns the decoder of a request for goa. It decodes JSON whatever the
// Content-Type, because the API has no other format.
func decodeBody(r *http.Request) goahttp.Decoder {
	return bodyDecoder{body: r.Body}
}

// Decode decodes the body. It returns errors of goa, from which formatFailure takes the
// invalid field.
func (d bodyDecoder) Decode(v any) error {
	body, ok := d.body.(*bufferedBody)
	if !ok || len(body.data) == 0 {
		return io.EOF // goa expects io.EOF for a missing body
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

// bodyEncoder encodes a response.
type bodyEncoder struct{ w io.Writer }

// encodeBody returns the encoder of a response for goa. It encodes JSON whatever the Accept
// header.
func encodeBody(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	return bodyEncoder{w: w}
}

// Encode writes the response.
func (e bodyEncoder) Encode(v any) error {
	encoder := json.NewEncoder(e.w)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(v)
}

// acceptedValues extracts the accepted values from a validation message of goa, such as "value
// of body.kind must be one of "generate", "call" but got value "x"".
func acceptedValues(message string) string {
	_, rest, ok := strings.Cut(message, " must be ")
	if !ok {
		return ""
	}
	accepted, _, _ := strings.Cut(rest, " but got")
	return accepted
}
