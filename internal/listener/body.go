package listener

import (
	"io"
	"net/http"
	"time"
)

// BodyTimeout is how long a request's body may take to arrive.
const BodyTimeout = 30 * time.Second

// ReadBody reads a whole request body of at most limit bytes. A body that takes
// longer than timeout ends with an error that wraps os.ErrDeadlineExceeded, one
// over the limit with an *http.MaxBytesError.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout)) // a writer without deadlines has none
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		// While the answer is written, the server reads on to notice a caller who
		// leaves; that read has no deadline.
		_ = control.SetReadDeadline(time.Time{})
	}
	return data, err
}
