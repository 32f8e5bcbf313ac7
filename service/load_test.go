package service_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/service"
)

// Guards against a load report that is the copy of an earlier one, or of a call's answer, on the connection that both use.
func TestCopyIsNoLoadReport(t *testing.T) {
	for name, copyID := range ids {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			report := func(running int, header string) string {
				body := fmt.Sprintf(`{"running":%d}`, running)
				return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
			}
			var firstConn net.Conn
			var firstID string
			s := startScripted(t, func(e exchange) bool {
				if e.number == 1 {
					firstConn, firstID = e.conn, e.id
				} else if e.conn == firstConn {
					_, _ = io.WriteString(e.conn, report(1, copyID(firstID)))
				}
				_, err := io.WriteString(e.conn, report(e.number, ids["own id"](e.id)))
				return err == nil
			})
			c := service.New(service.Defaults())
			defer c.Close()
			upstream := rail.NewInstance("s1", "works-hall", rail.RoleService, s.address)
			_, err := c.Load(context.Background(), upstream)
			is.NoErr(err)
			_, err = c.Load(context.Background(), upstream)
			is.Equal(rail.KindOf(err), rail.KindUpstreamFailed)
			load, err := c.Load(context.Background(), upstream)
			is.NoErr(err)
			is.Equal(load.Running(), 3)
		})
	}
}

// Guards against the answer of a failure, or one whose status is none, that counts as a load report.
func TestLoadReportOfAFailureIsNone(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "204", "404", "500", "503", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			u := startUpstream(t, write("HTTP/1.1 "+status+" No\r\nContent-Length: 13\r\n\r\n{\"running\":3}"))
			c := service.New(service.Defaults())
			defer c.Close()
			_, err := c.Load(context.Background(), rail.NewInstance("s1", "works-hall", rail.RoleService, u.listener.Addr().String()))
			is.Equal(rail.KindOf(err), rail.KindUpstreamFailed)
		})
	}
}
