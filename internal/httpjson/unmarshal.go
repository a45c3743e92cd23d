package httpjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Unmarshal decodes exactly one JSON value and refuses unknown fields.
func Unmarshal(body []byte, out any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		return fmt.Errorf("httpjson: decode: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("httpjson: data after the value")
	}
	return nil
}
