package httpclient

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformedHead is wrapped by the error of a response whose head net/http might read but another
// reader may read in another way. Nothing of the response can be trusted, its framing included.
var ErrMalformedHead = errors.New("malformed head of a response")

// headCheck checks the heads of one response as they arrive: those of interim responses and the
// final one. It is stricter than net/http, which reads some fields with a malformed name as others,
// or as none, and then ends the body elsewhere than the server.
type headCheck struct {
	line       []byte // the part of the current line that has arrived
	inFields   bool   // the status line has been read
	interim    bool   // the head is followed by another one
	http10     bool
	length     string // stated length of the body; empty: none
	hasCoding  bool
	done       bool // the final head has been read
	lineNumber int
}

// add checks the next bytes of the response. Those after the final head are ignored. Its error wraps
// ErrMalformedHead.
func (h *headCheck) add(data []byte) error {
	for !h.done {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			h.line = append(h.line, data...) // bounded by the transport's limit of a head
			return nil
		}
		line := data[:end]
		if len(h.line) > 0 {
			line = append(h.line, line...)
			h.line = line[:0]
		}
		data = data[end+1:]
		h.lineNumber++
		if err := h.addLine(line); err != nil {
			return fmt.Errorf("%w: line %d: %w", ErrMalformedHead, h.lineNumber, err)
		}
	}
	return nil
}

// addLine checks a line, which is given without its line feed.
func (h *headCheck) addLine(line []byte) error {
	text, whole := bytes.CutSuffix(line, []byte("\r"))
	switch {
	case !whole:
		return errors.New("line feed without a carriage return")
	case !h.inFields:
		h.inFields = true
		return h.addStatusLine(string(text))
	case len(text) == 0:
		h.done, h.inFields = !h.interim, false
		return nil
	default:
		return h.addField(string(text))
	}
}

// addStatusLine checks a status line: protocol, version and status, and the reason after a blank.
func (h *headCheck) addStatusLine(text string) error {
	version, rest, _ := strings.Cut(text, " ")
	status, reason, _ := strings.Cut(rest, " ")
	switch {
	case version != "HTTP/1.1" && version != "HTTP/1.0":
		return fmt.Errorf("version %.20q", version)
	case len(status) != 3 || !isNumber(status) || status < "100" || status > "599":
		return fmt.Errorf("status %.20q", status)
	case !httpguts.ValidHeaderFieldValue(reason):
		return errors.New("control byte in the reason")
	}
	h.interim = status[0] == '1' && status != "101"
	h.http10, h.length, h.hasCoding = version == "HTTP/1.0", "", false
	return nil
}

// addField checks a field, and its agreement with the others that frame the body.
func (h *headCheck) addField(text string) error {
	name, value, found := strings.Cut(text, ":")
	value = strings.Trim(value, " \t")
	switch {
	case !found:
		return errors.New("no colon")
	case !httpguts.ValidHeaderFieldName(name): // also true of a folded line, which begins with a blank
		return fmt.Errorf("field name %.40q", name)
	case !httpguts.ValidHeaderFieldValue(value):
		return fmt.Errorf("control byte in the field %.40q", name)
	case strings.EqualFold(name, "Content-Length"):
		if !isNumber(value) || h.length != "" && h.length != value {
			return fmt.Errorf("length %.20q", value)
		}
		h.length = value
	case strings.EqualFold(name, "Transfer-Encoding"):
		if h.hasCoding || !strings.EqualFold(value, "chunked") {
			return fmt.Errorf("encoding %.20q", value)
		}
		h.hasCoding = true
	}
	if h.hasCoding && (h.length != "" || h.http10) {
		return errors.New("encoding beside a length or in HTTP/1.0")
	}
	return nil
}

func isNumber(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}
