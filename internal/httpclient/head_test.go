package httpclient_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/amaranthfold/amaranthfold/internal/httpclient"
)

const (
	okLine = "HTTP/1.1 200 OK\r\n"
	length = "Content-Length: 4\r\n"
)

// malformedHeads are heads, up to their empty line, that must give no response. The body after each
// is "body" or its chunk.
var malformedHeads = map[string]string{
	"blank after the name of the length":   okLine + "Content-Length : 4\r\n",
	"blank after the name of the encoding": okLine + "Transfer-Encoding : chunked\r\n",
	"tab after a name":                     okLine + length + "X\t: 1\r\n",
	"blank in a name":                      okLine + length + "X Y: 1\r\n",
	"blank before the first name":          okLine + " X: 1\r\n" + length,
	"no name":                              okLine + length + ": 1\r\n",
	"control byte in a name":               okLine + length + "X\x01: 1\r\n",
	"separator in a name":                  okLine + length + "X(1): 1\r\n",
	"byte over 127 in a name":              okLine + length + "X\xe9: 1\r\n",
	"no colon":                             okLine + length + "X\r\n",
	"control byte in a value":              okLine + length + "X: a\x01b\r\n",
	"zero byte in a value":                 okLine + length + "X: a\x00b\r\n",
	"delete byte in a value":               okLine + length + "X: a\x7fb\r\n",
	"carriage return in a value":           okLine + "X: a\rContent-Length: 4\r\n",
	"folded line":                          okLine + length + "X: a\r\n b\r\n",
	"folded line that looks like a field":  okLine + "X: a\r\n\tTransfer-Encoding: chunked\r\n",
	"line feed alone":                      okLine + "X: a\n" + length,
	"line feed alone after the status":     "HTTP/1.1 200 OK\n" + length,
	"length and encoding":                  okLine + length + "Transfer-Encoding: chunked\r\n",
	"encoding in HTTP/1.0":                 "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	"encoding twice":                       okLine + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
	"unknown encoding":                     okLine + "Transfer-Encoding: x-other\r\n",
	"encodings":                            okLine + "Transfer-Encoding: gzip, chunked\r\n",
	"empty encoding":                       okLine + "Transfer-Encoding:\r\n",
	"two lengths":                          okLine + length + "Content-Length: 5\r\n",
	"list of lengths":                      okLine + "Content-Length: 4, 4\r\n",
	"length with a sign":                   okLine + "Content-Length: +4\r\n",
	"empty length":                         okLine + "Content-Length:\r\n",
	"length that is no number":             okLine + "Content-Length: 0x4\r\n",
	"malformed interim head":               "HTTP/1.1 103 Early Hints\r\nLink : a\r\n\r\n" + okLine + length,
	"version 2.0":                          "HTTP/2.0 200 OK\r\n" + length,
	"version 1.2":                          "HTTP/1.2 200 OK\r\n" + length,
	"version 0.9":                          "HTTP/0.9 200 OK\r\n" + length,
	"protocol in lower case":               "http/1.1 200 OK\r\n" + length,
	"two blanks before the status":         "HTTP/1.1  200 OK\r\n" + length,
	"tab before the status":                "HTTP/1.1\t200 OK\r\n" + length,
	"tab after the status":                 "HTTP/1.1 200\tOK\r\n" + length,
	"status with a sign":                   "HTTP/1.1 +20 OK\r\n" + length,
	"status of two digits":                 "HTTP/1.1 20 OK\r\n" + length,
	"status of four digits":                "HTTP/1.1 2000 OK\r\n" + length,
	"control byte in the reason":           "HTTP/1.1 200 O\x01K\r\n" + length,
	"carriage return in the reason":        "HTTP/1.1 200 O\rK\r\n" + length,
}

// soundHeads are unusual heads that give a response.
var soundHeads = map[string]string{
	"no reason":              "HTTP/1.1 200\r\n" + length,
	"empty reason":           "HTTP/1.1 200 \r\n" + length,
	"no blank after a colon": okLine + "Content-Length:4\r\n",
	"blanks round a value":   okLine + "Content-Length: \t4 \t\r\n",
	"empty value":            okLine + length + "X:\r\n",
	"bytes over 127":         okLine + length + "X: \xe9\r\n",
	"tab in a value":         okLine + length + "X: a\tb\r\n",
	"all marks in a name":    okLine + length + "X!#$%&'*+-.^_`|~1: a\r\n",
	"length twice":           okLine + length + length,
	"encoding in capitals":   okLine + "Transfer-Encoding: CHUNKED\r\n",
	"interim heads":          "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + okLine + length,
	"HTTP/1.0":               "HTTP/1.0 200 OK\r\n" + length,
	"no stated end":          okLine,
}

// respondWith returns the transport's response to a request that the server answers with the head and
// a body, in pieces of the size; zero: whole. The server then closes the connection.
func respondWith(t *testing.T, head string, piece int) (body string, err error) {
	t.Helper()
	text := head + "\r\nbody"
	if strings.Contains(strings.ToLower(head), "chunked") {
		text = head + "\r\n4\r\nbody\r\n0\r\n\r\n"
	}
	server := rawServer(t, func(conn *net.TCPConn, _ *http.Request, _ io.Reader) {
		for rest := text; rest != ""; {
			n := len(rest)
			if piece > 0 {
				n = min(n, piece)
			}
			if _, err := io.WriteString(conn, rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
		}
	})
	res, err := (&http.Client{Transport: httpclient.New(&http.Transport{DisableCompression: true})}).Get(server)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return string(data), err
}

func TestMalformedHeadGivesNoResponse(t *testing.T) {
	for name, head := range malformedHeads {
		for _, piece := range []int{0, 1} {
			if body, err := respondWith(t, head, piece); !errors.Is(err, httpclient.ErrMalformedHead) {
				t.Errorf("%s: body %q, error %v", name, body, err)
			}
		}
	}
}

func TestSoundHeadGivesAResponse(t *testing.T) {
	for name, head := range soundHeads {
		for _, piece := range []int{0, 1} {
			if body, err := respondWith(t, head, piece); body != "body" || err != nil {
				t.Errorf("%s: body %q, error %v", name, body, err)
			}
		}
	}
}

func TestHeadThatIsCutGivesNoResponse(t *testing.T) {
	const head = okLine + "X: 1\r\n" + length + "\r\n"
	for n := range len(head) {
		server := rawServer(t, func(conn *net.TCPConn, _ *http.Request, _ io.Reader) { _, _ = io.WriteString(conn, head[:n]) })
		res, err := (&http.Client{Transport: httpclient.New(&http.Transport{})}).Get(server)
		if err == nil {
			_ = res.Body.Close()
			t.Errorf("response after %q", head[:n])
		}
	}
}

func TestStatusOutsideTheProtocolGivesNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		if body, err := respondWith(t, "HTTP/1.1 "+status+" OK\r\n"+length, 0); !errors.Is(err, httpclient.ErrMalformedHead) {
			t.Errorf("%s: body %q, error %v", status, body, err)
		}
	}
	for _, status := range []string{"200", "299", "404", "599"} {
		if body, err := respondWith(t, "HTTP/1.1 "+status+" OK\r\n"+length, 0); body != "body" || err != nil {
			t.Errorf("%s: body %q, error %v", status, body, err)
		}
	}
}
