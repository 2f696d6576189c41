package hostplatform

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
)

// StreamRequest is a caller's request for a stream of events.
type StreamRequest struct {
	Front     string // address of the instance
	Host, Key string
	ID        string
	Total     int    // events of the whole stream
	Resumes   string // request whose stream is taken up after LastEvent; empty: none
	LastEvent int
}

// ReceiveStream sends the request to the route talk, on a connection of its own, and reads the
// stream. It returns the status, zero for no response, the data of the complete events that
// arrived, and whether they are the rest of the whole stream.
func ReceiveStream(client *http.Client, r StreamRequest) (status int, events []string, complete bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.Front+"/talk/x", nil)
	if err != nil {
		panic(fmt.Sprintf("request to %q: %v", r.Front, err))
	}
	req.Host, req.Close = r.Host, true
	req.Header.Set("Request-Id", r.ID)
	req.Header.Set("Credential", r.Key)
	req.Header.Set("Deadline-Ms", "8000")
	req.Header.Set("Token-Usage", fmt.Sprintf("10,%d", r.Total))
	if r.Resumes != "" {
		req.Header.Set("Resumes", r.Resumes)
		req.Header.Set("Last-Event-Id", fmt.Sprint(r.LastEvent))
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, false // the instance is down, paused or unreachable
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return res.StatusCode, nil, false
	}
	data := ""
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() { // a stream that breaks ends it, too
		if value, found := strings.CutPrefix(lines.Text(), "data: "); found {
			data = value
		} else if lines.Text() == "" && data != "" {
			events, data = append(events, data), ""
		}
	}
	return res.StatusCode, events, r.LastEvent+len(events) == r.Total
}

// IsOutputOfOne reports whether the data of a stream's events, in order, is that of engines
// with one of the software versions.
func IsOutputOfOne(versions []string, events []string) bool {
	for _, version := range versions {
		if allOf(version, events) {
			return true
		}
	}
	return false
}

// allOf does not compare the ids of the requests, which differ between the attempts of a
// caller.
func allOf(version string, events []string) bool {
	for i, data := range events {
		if !strings.HasSuffix(data, eventData(version, "", int64(i+1))) {
			return false
		}
	}
	return true
}
