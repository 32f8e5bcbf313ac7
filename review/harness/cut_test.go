package harness

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
)

// cutListener accepts the connections of a worker. It resets those of gateways that are partitioned from the workers.
type cutListener struct {
	net.Listener
	w *world

	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// Accept implements net.Listener.
func (l *cutListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.w.isCut(conn) {
			reset(conn)
			continue
		}
		l.mu.Lock()
		l.open[conn] = struct{}{}
		l.mu.Unlock()
		return &cutConn{Conn: conn, listener: l}, nil
	}
}

// resetCut resets the open connections of partitioned gateways.
func (l *cutListener) resetCut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		if l.w.isCut(conn) {
			reset(conn)
		}
	}
}

// resetAll resets all open connections.
func (l *cutListener) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		reset(conn)
	}
}

// cutConn is a connection of a cutListener.
type cutConn struct {
	net.Conn
	listener *cutListener
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

func reset(conn net.Conn) {
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0) // The connection ends in any case.
	}
	_ = conn.Close()
}

// cutFromWorkers partitions the gateways from all workers: their connections are reset, new ones too. None heals it.
func (w *world) cutFromWorkers(gateways ...*gateway) {
	w.mu.Lock()
	w.cut = map[*gateway]bool{}
	for _, g := range gateways {
		w.cut[g] = true
	}
	listeners := w.listeners
	w.mu.Unlock()
	for _, l := range listeners {
		l.resetCut()
	}
}

// isCut reports whether the connection is one of a partitioned gateway. Its owner is read from the kernel's table of connections and
// from the descriptors of the gateways that this test started.
func (w *world) isCut(conn net.Conn) bool {
	w.mu.Lock()
	cut := make([]*gateway, 0, len(w.cut))
	for g := range w.cut {
		cut = append(cut, g)
	}
	w.mu.Unlock()
	if len(cut) == 0 {
		return false
	}
	inode := socketInode(conn.RemoteAddr(), conn.LocalAddr())
	for _, g := range cut {
		if inode != "" && g.hasSocket(inode) {
			return true
		}
	}
	return false
}

// hasSocket reports whether the gateway's process has the socket open.
func (g *gateway) hasSocket(inode string) bool {
	dir := fmt.Sprintf("/proc/%d/fd/", g.cmd.Process.Pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, f := range files {
		if target, err := os.Readlink(dir + f.Name()); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// socketInode returns the inode of the socket with the two addresses, empty if there is none.
func socketInode(local, remote net.Addr) string {
	from, to := procAddress(local), procAddress(remote)
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == from && fields[2] == to {
			return fields[9]
		}
	}
	return ""
}

// procAddress returns an address as the kernel's table writes it.
func procAddress(a net.Addr) string {
	t, ok := a.(*net.TCPAddr)
	if !ok || t.IP.To4() == nil {
		return ""
	}
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(t.IP.To4()), t.Port)
}
