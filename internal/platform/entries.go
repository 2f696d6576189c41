package platform

import (
	"encoding/json"
	"errors"
	"fmt"
)

// UnreadableError reports that entries of a list cannot be used. The other entries are returned
// with it.
type UnreadableError struct {
	Entries int   // their number
	First   error // why the first one cannot be used
}

// Error implements error.
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("%d entries of the list cannot be used: %v", e.Entries, e.First)
}

var errNoID = errors.New("the entry has no id")

// decodeEntries decodes the entries of a list, each by itself. The error is nil or an
// *UnreadableError.
func decodeEntries[T any](raw []json.RawMessage, id func(T) string) ([]T, error) {
	entries := make([]T, 0, len(raw))
	var unreadable UnreadableError
	for _, data := range raw {
		var e T
		err := json.Unmarshal(data, &e)
		var wrongType *json.UnmarshalTypeError
		switch {
		case errors.As(err, &wrongType):
			err = fmt.Errorf("field %q has another type", wrongType.Field) // the error quotes the value in full
		case err == nil && id(e) == "":
			err = errNoID
		}
		if err == nil {
			entries = append(entries, e)
			continue
		}
		if unreadable.Entries++; unreadable.First == nil {
			unreadable.First = err
		}
	}
	if unreadable.Entries > 0 {
		return entries, &unreadable
	}
	return entries, nil
}
