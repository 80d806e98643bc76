package model

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// MaxTicketBytes bounds the JSON form of one ticket.
const MaxTicketBytes = 8 << 20

// DecodeJSON reads one JSON object of at most limit bytes. Unknown fields and content after
// the object are errors. Errors name the position and the allowed value where they are known.
func DecodeJSON(r io.Reader, limit int64, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return fmt.Errorf("the content is larger than %d bytes", limit)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return describeDecodeError(data, err)
	}
	end := decoder.InputOffset()
	if rest := bytes.TrimSpace(data[end:]); len(rest) > 0 {
		return fmt.Errorf("%s: %q follows the object, only one object is allowed", position(data, end), excerpt(rest))
	}
	return nil
}

// describeDecodeError returns an error that names the position, the field and the allowed type.
func describeDecodeError(data []byte, err error) error {
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &wrongType):
		return fmt.Errorf("%s: field %q holds a %s, allowed is a %s",
			position(data, wrongType.Offset), wrongType.Field, wrongType.Value, typeName(wrongType))
	case errors.As(err, &syntax):
		return fmt.Errorf("%s: %s", position(data, syntax.Offset), syntax.Error())
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return fmt.Errorf("%s: the object is incomplete", position(data, int64(len(data))))
	default:
		return errors.New(strings.TrimPrefix(err.Error(), "json: "))
	}
}

// typeName returns the name of the expected type in terms of JSON.
func typeName(err *json.UnmarshalTypeError) string {
	switch name := err.Type.Kind().String(); {
	case strings.HasPrefix(name, "uint"):
		return "whole number of at least 0 (" + name + ")"
	case strings.HasPrefix(name, "int"):
		return "whole number (" + name + ")"
	case strings.HasPrefix(name, "float"):
		return "number"
	case name == "slice":
		return "list"
	case name == "struct", name == "map":
		return "object"
	case name == "bool":
		return "true or false"
	default:
		return name
	}
}

func position(data []byte, offset int64) string {
	before := data[:min(offset, int64(len(data)))]
	line := 1 + bytes.Count(before, []byte{'\n'})
	return fmt.Sprintf("line %d, column %d", line, len(before)-bytes.LastIndexByte(before, '\n')-1)
}

func excerpt(data []byte) string {
	const maxExcerpt = 20 // bytes
	return string(data[:min(len(data), maxExcerpt)])
}

// DecodeTicket reads a ticket from JSON and checks what can be checked without the state.
func DecodeTicket(r io.Reader) (Ticket, error) {
	var ticket Ticket
	if err := DecodeJSON(r, MaxTicketBytes, &ticket); err != nil {
		return Ticket{}, err
	}
	if ticket.Number == 0 {
		return ticket, errors.New("number is 0 or missing, a whole number of at least 1 is needed")
	}
	if _, err := ticket.Refs(); err != nil {
		return ticket, err
	}
	return ticket, ticket.Validate()
}
