package listener

import (
	"io"
	"net/http"
	"time"
)

// BodyTimeout is the longest time that a request's body may take to arrive.
const BodyTimeout = 30 * time.Second

// ReadBody reads a complete request body. It fails with an error that wraps
// os.ErrDeadlineExceeded if the body takes longer than timeout to arrive, and with an
// *http.MaxBytesError if it has more than limit bytes.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	responseController := http.NewResponseController(w)
	_ = responseController.SetReadDeadline(time.Now().Add(timeout)) // fails if w does not support deadlines
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		// The server keeps reading while the response is written, to detect that the
		// client disconnects. That read must have no deadline.
		_ = responseController.SetReadDeadline(time.Time{})
	}
	return data, err
}
