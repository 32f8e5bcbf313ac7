package httpconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// resetOnce is a connection that is reset while a request is written and whose kernel reports that to the writer only: the
// reader gets the answer that came before, and then the end of the stream.
type resetOnce struct {
	answer      io.Reader
	begun       chan struct{} // closed once a part of the request was written
	closed      chan struct{}
	beginning   sync.Once
	closing     sync.Once
	read        chan struct{} // closed once the answer was read
	reset       chan struct{} // closed once the kernel has reported the reset to the writer
	ended       chan struct{} // closed once the reader gets the end
	writerFirst bool          // the writer's call returns before the reader's does
	fits        int           // bytes that are written before the reset
}

func (c *resetOnce) Read(p []byte) (int, error) {
	select {
	case <-c.ended:
		return 0, io.EOF
	default:
	}
	c.await(c.begun)
	n, err := c.answer.Read(p)
	if err != io.EOF {
		return n, err
	}
	close(c.read)
	c.await(c.reset)
	if c.writerFirst {
		time.Sleep(time.Millisecond)
	}
	close(c.ended)
	return 0, io.EOF
}

func (c *resetOnce) Write(p []byte) (int, error) {
	if c.fits -= len(p); c.fits >= 0 {
		c.beginning.Do(func() { close(c.begun) })
		return len(p), nil
	}
	c.await(c.read)
	close(c.reset)
	if !c.writerFirst {
		c.await(c.ended)
		time.Sleep(time.Millisecond)
	}
	return 0, syscall.ECONNRESET
}

// await waits for the channel or for the connection to be closed.
func (c *resetOnce) await(done <-chan struct{}) {
	select {
	case <-done:
	case <-c.closed:
	}
}

func (c *resetOnce) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return nil
}

func (c *resetOnce) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *resetOnce) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *resetOnce) SetDeadline(time.Time) error      { return nil }
func (c *resetOnce) SetReadDeadline(time.Time) error  { return nil }
func (c *resetOnce) SetWriteDeadline(time.Time) error { return nil }

// Guards against a part of an answer that counts as complete because its connection's reset was reported to the writer only.
func TestAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	for name, writerFirst := range map[string]bool{"writer first": true, "reader first": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			complete := 0
			for range 20 {
				conn := &resetOnce{
					answer: strings.NewReader("HTTP/1.1 200 OK\r\n\r\npart of an ans"),
					begun:  make(chan struct{}), closed: make(chan struct{}),
					read: make(chan struct{}), reset: make(chan struct{}), ended: make(chan struct{}), writerFirst: writerFirst, fits: 16 << 10,
				}
				c := newClient(t, &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil }})
				r, err := http.NewRequest(http.MethodPost, "http://upstream/", strings.NewReader(strings.Repeat("b", 64<<10)))
				is.NoErr(err)
				response, err := c.Do(r)
				if err != nil {
					continue
				}
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
				if err == nil {
					complete++
				}
			}
			is.Equal(complete, 0)
		})
	}
}
