package callmux

import (
	"unicode/utf8"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// The value of a header field may hold bytes that are not UTF-8. A frame with such a string cannot be
// encoded: the answer that it carries would be lost after its request has run. In frames these values are in
// HeaderField.octets, everywhere else in HeaderField.value.

// packFields returns fields in the form for a frame. The given slice and its fields may be shared between
// attempts and are not changed.
func packFields(fields []*lapisv1.HeaderField) []*lapisv1.HeaderField {
	packed, copied := fields, false
	for index, field := range fields {
		if utf8.ValidString(field.GetValue()) {
			continue
		}
		if !copied {
			packed, copied = append([]*lapisv1.HeaderField(nil), fields...), true
		}
		packed[index] = &lapisv1.HeaderField{Name: field.GetName(), Octets: []byte(field.GetValue())}
	}
	return packed
}

// unpackFields reverses packFields for the fields of a received frame.
func unpackFields(frame *lapisv1.CallFrame) {
	for _, field := range fieldsOf(frame) {
		if len(field.GetOctets()) > 0 {
			field.Value, field.Octets = string(field.GetOctets()), nil
		}
	}
}

// fieldsOf returns the header fields or trailers of a frame.
func fieldsOf(frame *lapisv1.CallFrame) []*lapisv1.HeaderField {
	switch body := frame.GetBody().(type) {
	case *lapisv1.CallFrame_Open:
		return body.Open.GetHeaders()
	case *lapisv1.CallFrame_Head:
		return body.Head.GetHeaders()
	case *lapisv1.CallFrame_Data:
		return body.Data.GetTrailers()
	default:
		return nil
	}
}
