package stand2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// links stand between the machines and one worker each. While a machine is cut off, its connections are reset.
type links struct {
	mu sync.Mutex
	// gateways are the machines, by which the other end of a connection is known; set before the first connection.
	gateways []*gateway
	cut      map[*gateway]bool
	open     map[net.Conn]*gateway
}

func newLinks() *links { return &links{cut: map[*gateway]bool{}, open: map[net.Conn]*gateway{}} }

// to returns the address of a link to the worker's address.
func (k *links) to(address string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(conn, address)
		}
	}()
	return l.Addr().String(), nil
}

// owner returns the machine whose process has the other end of the connection, nil if it is none of them.
func (k *links) owner(conn net.Conn) *gateway {
	remote, local := conn.RemoteAddr().(*net.TCPAddr), conn.LocalAddr().(*net.TCPAddr)
	wanted := fmt.Sprintf("0100007F:%04X 0100007F:%04X", remote.Port, local.Port)
	f, err := os.Open("/proc/self/net/tcp")
	if err != nil {
		return nil
	}
	defer func() { _ = f.Close() }()
	inode := ""
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 9 && fields[1]+" "+fields[2] == wanted {
			inode = "socket:[" + fields[9] + "]"
		}
	}
	for _, g := range k.gateways {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", g.cmd.Process.Pid))
		for _, file := range files {
			if target, err := os.Readlink(file); err == nil && target == inode {
				return g
			}
		}
	}
	return nil
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}

func (k *links) forward(conn net.Conn, address string) {
	g := k.owner(conn)
	worker, err := net.Dial("tcp", address)
	if err != nil {
		reset(conn)
		return
	}
	k.mu.Lock()
	if k.cut[g] {
		k.mu.Unlock()
		reset(conn)
		reset(worker)
		return
	}
	k.open[conn], k.open[worker] = g, g
	k.mu.Unlock()
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		if _, err := io.Copy(to, from); err != nil {
			reset(to)
		} else if c, ok := to.(*net.TCPConn); ok {
			_ = c.CloseWrite()
		}
		done <- struct{}{}
	}
	go pipe(worker, conn)
	go pipe(conn, worker)
	<-done
	<-done
	k.mu.Lock()
	delete(k.open, conn)
	delete(k.open, worker)
	k.mu.Unlock()
	_, _ = conn.Close(), worker.Close()
}

// setCut cuts the links of a machine, or heals them.
func (k *links) setCut(g *gateway, cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut[g] = cut
	for conn, of := range k.open {
		if cut && of == g {
			reset(conn)
		}
	}
}
