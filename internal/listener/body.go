package listener

import (
	"io"
	"net/http"
	"time"
)

// BodyTimeout is the longest time that a request's body may take to arrive.
const BodyTimeout = 30 * time.Second

// ReadBody reads a complete request body of at most limit bytes. For a body that takes
// longer than timeout, it returns an error that wraps os.ErrDeadlineExceeded, for a longer
// one an *http.MaxBytesError.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(timeout)) // ignored: a ResponseWriter may have no deadlines
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		// The server keeps reading while the response is written, to detect that the
		// client disconnects. That read must have no deadline.
		_ = controller.SetReadDeadline(time.Time{})
	}
	return data, err
}
