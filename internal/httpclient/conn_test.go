package httpclient_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/amaranthfold/amaranthfold/internal/httpclient"
	"github.com/amaranthfold/amaranthfold/internal/standin/rawtarget"
)

const unframed = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart"

// rawServer serves each connection with the function, which is given the head of the first request.
func rawServer(t *testing.T, serve func(conn *net.TCPConn, r *http.Request, unread io.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				if r, err := http.ReadRequest(reader); err == nil {
					serve(conn.(*net.TCPConn), r, reader)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// unsendable is a request body that the sockets of both sides together do not take.
const unsendable = 64 << 20

// upload posts a body of the size, and returns the body of the response.
func upload(transport *httpclient.Transport, url string, size int) (string, error) {
	res, err := (&http.Client{Transport: transport}).Post(url, "", strings.NewReader(strings.Repeat("u", size)))
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return string(data), err
}

func TestBodyThatAResetCutsDuringAnUploadIsNotWhole(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { rawtarget.ResetUpload(w, r, unframed) }))
	defer server.Close()
	body, err := upload(httpclient.New(&http.Transport{DialContext: rawtarget.DialUpload}), server.URL, rawtarget.UploadBytes)
	if !errors.Is(err, httpclient.ErrCut) {
		t.Errorf("body %q, error %v", body, err)
	}
}

func TestBodyThatEndsBeforeTheRequestIsWholeIfTheServerReadsOn(t *testing.T) {
	server := rawServer(t, func(conn *net.TCPConn, r *http.Request, _ io.Reader) {
		_, _ = io.WriteString(conn, unframed)
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
	})
	if body, err := upload(httpclient.New(&http.Transport{}), server, unsendable); body != "part" || err != nil {
		t.Errorf("body %q, error %v", body, err)
	}
}

func TestBodyThatEndsBeforeTheRequestIsNotWholeIfTheServerLeaves(t *testing.T) {
	server := rawServer(t, func(conn *net.TCPConn, r *http.Request, _ io.Reader) {
		_, _ = io.WriteString(conn, unframed)
		_ = conn.CloseWrite()
		_, _ = io.CopyN(io.Discard, r.Body, 1<<20)
	})
	if body, err := upload(httpclient.New(&http.Transport{}), server, unsendable); !errors.Is(err, httpclient.ErrCut) && !isReset(err) {
		t.Errorf("body %q, error %v", body, err)
	}
}

func TestClosedBodyEndsTheWaitForTheRequest(t *testing.T) {
	server := rawServer(t, func(conn *net.TCPConn, r *http.Request, _ io.Reader) {
		_, _ = io.WriteString(conn, unframed)
		_ = conn.CloseWrite()
		<-t.Context().Done() // the rest of the request is never read
	})
	res, err := (&http.Client{Transport: httpclient.New(&http.Transport{})}).Post(server, "", strings.NewReader(strings.Repeat("u", unsendable)))
	if err != nil {
		t.Fatal(err)
	}
	read := make(chan error, 1)
	go func() { _, err := io.ReadAll(res.Body); read <- err }()
	_ = res.Body.Close()
	if err := <-read; err == nil {
		t.Error("the end of the body was reported")
	}
}

func isReset(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation)
}
