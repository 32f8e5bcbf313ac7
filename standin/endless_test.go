package standin_test

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"dandelionrail.org/rail/group"
	"dandelionrail.org/rail/standin"
)

func TestEndlessSendsUntilItsCallerCloses(t *testing.T) {
	is := is.New(t)
	g := group.New(context.Background())
	e, err := standin.NewEndless(g, "HTTP/1.1 200 OK\r\n", "A: b\r\n")
	is.NoErr(err)
	conn, err := net.Dial("tcp", e.Address())
	is.NoErr(err)
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	is.NoErr(err)
	for read := 0; read < 1<<20; {
		n, err := conn.Read(make([]byte, 32<<10))
		is.NoErr(err)
		read += n
	}
	is.NoErr(conn.Close())
	is.NoErr(e.Close())
	g.Stop()
	is.True(e.Sent() >= 1<<20)
}
