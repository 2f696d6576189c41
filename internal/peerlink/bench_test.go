package peerlink_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/amaranthfold/amaranthfold/internal/peerlink"
)

// countingListener counts the bytes that its connections carry in both directions.
type countingListener struct {
	net.Listener
	count *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.count}, err
}

type countingConn struct {
	net.Conn
	count *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count.Add(int64(n))
	return n, err
}

// benchServer serves requests over TCP or over checked connections, and returns its address and
// how to connect to it.
func benchServer(b *testing.B, secured bool, responseBytes int) (address string, dial func(ctx context.Context, network, address string) (net.Conn, error), wireBytes *atomic.Int64) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	wireBytes = &atomic.Int64{}
	var l net.Listener = countingListener{raw, wireBytes}
	dial = (&net.Dialer{}).DialContext
	if secured {
		identity, err := peerlink.NewIdentity(rand.Reader)
		if err != nil {
			b.Fatal(err)
		}
		peers := peerlink.NewPeers(identity, peerlink.Options{})
		peers.Update([]peerlink.Peer{{Name: "self", Address: raw.Addr().String(), Fingerprint: identity.Fingerprint()}})
		l, dial = peers.Listen(l), peers.Dial
	}
	response := bytes.Repeat([]byte("r"), responseBytes)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(response)
	})}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { _ = server.Close() })
	return raw.Addr().String(), dial, wireBytes
}

func cpuTime() float64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1000
}

// BenchmarkCall measures a call between instances, both sides in one process: of the size of a
// request for an allowance, and of a relayed request.
func BenchmarkCall(b *testing.B) {
	for _, size := range []struct {
		name              string
		request, response int
	}{{"allowance", 120, 60}, {"relayed", 4 << 10, 16 << 10}} {
		for _, kept := range []bool{false, true} {
			for _, secured := range []bool{false, true} {
				name := size.name + map[bool]string{false: "/new", true: "/kept"}[kept] + map[bool]string{false: "/plain", true: "/checked"}[secured]
				b.Run(name, func(b *testing.B) { benchCall(b, size.request, size.response, kept, secured) })
			}
		}
	}
}

func benchCall(b *testing.B, request, response int, kept, secured bool) {
	address, dial, wireBytes := benchServer(b, secured, response)
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: !kept, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	body := bytes.Repeat([]byte("q"), request)
	cpu := 0.0
	for b.Loop() {
		if cpu == 0 {
			cpu = cpuTime()
			wireBytes.Store(0)
		}
		res, err := client.Post("http://"+address+"/", "text/plain", bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
	b.ReportMetric((cpuTime()-cpu)/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(wireBytes.Load())/float64(b.N), "wire-B/op")
}

// BenchmarkOpenConnections measures the memory of idle connections, both sides in one process,
// with the goroutines and buffers of net/http.
func BenchmarkOpenConnections(b *testing.B) {
	for _, secured := range []bool{false, true} {
		b.Run(map[bool]string{false: "plain", true: "checked"}[secured], func(b *testing.B) {
			const count = 400
			for b.Loop() {
				address, dial, _ := benchServer(b, secured, 60)
				before := memoryInUse()
				transports := make([]*http.Transport, count)
				for i := range transports {
					transports[i] = &http.Transport{DialContext: dial}
					res, err := (&http.Client{Transport: transports[i]}).Post("http://"+address+"/", "text/plain", bytes.NewReader(make([]byte, 120)))
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
				}
				b.ReportMetric((memoryInUse()-before)/count, "B/connection")
				for _, t := range transports {
					t.CloseIdleConnections()
				}
			}
		})
	}
}

func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
