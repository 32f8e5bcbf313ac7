package soak

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// partitionedFaults come in addition in the partitioned scenario.
var partitionedFaults = []fault{
	{"gateways lose all upstreams", false, func(d *deployment, f *faultParams) { d.partition(f, func(*upstream) bool { return true }) }},
	{"gateways lose all upstreams, again", false, func(d *deployment, f *faultParams) { d.partition(f, func(*upstream) bool { return true }) }},
	{"gateways lose all upstreams, and again", false, func(d *deployment, f *faultParams) { d.partition(f, func(*upstream) bool { return true }) }},
	{"gateways lose the upstreams of a service", false, func(d *deployment, f *faultParams) {
		service := d.upstream(f).service
		d.partition(f, func(u *upstream) bool { return u.service == service })
	}},
	{"gateways lose the upstreams of a domain", false, func(d *deployment, f *faultParams) {
		zone := d.upstream(f).zone
		d.partition(f, func(u *upstream) bool { return u.zone == zone })
	}},
}

// steadyInterval is the time between two steady requests at a gateway.
const steadyInterval = 100 * time.Millisecond

// sendSteadily returns the loop that sends first tries to one gateway over open connections, whether earlier ones are answered or not.
func (d *deployment) sendSteadily(n int, r *rand.Rand) func(context.Context) {
	return func(ctx context.Context) {
		transport := &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}
		defer transport.CloseIdleConnections()
		client := &http.Client{Transport: transport}
		p := d.processes[n]
		for number := (callers + n) * 1_000_000; ctx.Err() == nil; number++ {
			q := newRequest(r, number, "engravers")
			for q.eventCount > 0 && r.IntN(5) > 0 { // Streams would take the slots of the other callers.
				q = newRequest(r, number, "engravers")
			}
			q.gateway, q.steady = p.name, true
			d.recorder.mu.Lock()
			d.recorder.sent[q.id] = q
			d.recorder.mu.Unlock()
			d.callers.Go(func(ctx context.Context) {
				q.send(context.WithoutCancel(ctx), client, p.frontAddress)
				d.noteAnswer(q)
				d.mu.Lock()
				defer d.mu.Unlock()
				d.requests = append(d.requests, q)
			})
			time.Sleep(steadyInterval/2 + time.Duration(r.Int64N(int64(steadyInterval))))
		}
	}
}

// partitionModes are the ways in which gateways lose upstreams.
var partitionModes = []mode{refusing, stalled, closedToNew, stalledUp, stalledDown}

// partitionTime is how long callers are counted at least.
const partitionTime = 2 * time.Second

// awaitUpstreams waits until the upstreams have read what reached them.
func (d *deployment) awaitUpstreams() {
	for _, u := range d.currentUpstreams() {
		u.proxy.set(refusing)
	}
	time.Sleep(100 * time.Millisecond)
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		running := int32(0)
		for _, u := range d.currentUpstreams() {
			running += u.running.Load()
		}
		if running == 0 {
			return
		}
	}
}

// partitionRecord is a partition of some gateways from all upstreams.
type partitionRecord struct {
	from, to time.Time
	gateways map[string]bool
	calm     bool // Nothing else was disturbed.
}

// partition cuts some gateways off from the selected upstreams: one, two, those of a domain, or all. One partition lasts at a time.
func (d *deployment) partition(f *faultParams, selected func(*upstream) bool) {
	if !d.partitionMu.TryLock() {
		return // Another partition lasts.
	}
	defer d.partitionMu.Unlock()
	gateways := map[string]bool{}
	for n, p := range d.processes {
		switch f.target % 5 {
		case 0, 1:
			gateways[p.name] = n == f.target%len(d.processes)
		case 2:
			gateways[p.name] = n == f.target%len(d.processes) || n == (f.target+1)%len(d.processes)
		case 3:
			gateways[p.name] = n%2 == f.target/5%2
		case 4:
			gateways[p.name] = true
		}
	}
	m := partitionModes[int(f.mode)%len(partitionModes)]
	start := time.Now()
	all := true
	set := func(m mode) {
		for _, u := range d.currentUpstreams() {
			for name, cut := range gateways {
				if cut && selected(u) {
					u.proxy.cut(name, m)
				}
			}
			all = all && selected(u)
		}
	}
	end := start.Add(contactTime + partitionTime + f.duration)
	if end.After(d.recoverAt) {
		end = d.recoverAt
	}
	for ; time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		set(m) // Also for upstreams that have come since.
	}
	r := partitionRecord{from: start, to: time.Now(), gateways: gateways, calm: d.calmSince(start.Add(-contactTime))}
	set(passing)
	if all && f.target%5 != 4 {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.partitions = append(d.partitions, r)
	}
}

func (d *deployment) currentUpstreams() []*upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*upstream(nil), d.upstreams...)
}

// calmSince reports whether gateways, store and links have not been disturbed since the time, other than by partitions.
func (d *deployment) calmSince(since time.Time) bool {
	for _, p := range d.processes {
		if !d.undisturbedSince(p.name, since) || !p.storeProxy.undisturbedFor(time.Since(since)) {
			return false
		}
	}
	for _, u := range d.currentUpstreams() {
		if !u.proxy.undisturbedFor(time.Since(since)) || u.failPercent.Load() > 0 || u.fullPercent.Load() > 0 {
			return false
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeDisturbedUntil.Before(since)
}

// checkPartitions checks that first tries at partitioned gateways were served about as often as those at the others.
func (d *deployment) checkPartitions() {
	calm := 0
	for _, r := range d.partitions {
		if !r.calm {
			continue
		}
		calm++
		var served, tried [2]int
		for _, q := range d.requests {
			if q.sentAt.Before(r.from.Add(contactTime)) || q.sentAt.After(r.to) || !q.steady {
				continue
			}
			side := 0
			if r.gateways[q.gateway] {
				side = 1
			}
			tried[side]++
			if q.err == nil && q.status == http.StatusOK {
				served[side]++
			}
		}
		d.t.Logf("gateways without upstreams served %d of %d first tries, the others %d of %d", served[1], tried[1], served[0], tried[0])
		if 3*served[1]*tried[0] < 2*served[0]*tried[1] && float64(tried[1]-served[1]) > 10+float64(tried[0]+tried[1])/50 {
			d.recorder.recordViolation("RECOVER: gateways without upstreams served %d of %d requests, the others %d of %d", served[1], tried[1], served[0], tried[0])
		}
	}
	d.t.Logf("%d partitions from all upstreams, %d of them without another disturbance", len(d.partitions), calm)
}

// connectionOwner returns the name of the gateway that opened a connection over the loopback interface, from the kernel's tables.
func (d *deployment) connectionOwner(conn net.Conn) string {
	remote, ok := conn.RemoteAddr().(*net.TCPAddr)
	local, ok2 := conn.LocalAddr().(*net.TCPAddr)
	if !ok || !ok2 || !d.started.Load() {
		return ""
	}
	inode, err := socketInode(remote, local)
	if err != nil {
		return ""
	}
	return d.socketOwner("socket:[" + strconv.FormatUint(uint64(inode), 10) + "]")
}

// The layout of a request and of an answer of the kernel's socket diagnosis, in bytes.
const (
	diagRequestBytes = 16 + 56
	diagInodeOffset  = 16 + 68
	diagByFamily     = 20 // SOCK_DIAG_BY_FAMILY
)

// socketInode returns the inode of the TCP socket with the addresses.
func socketInode(from, to *net.TCPAddr) (uint32, error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		return 0, err
	}
	defer func() { _ = unix.Close(fd) }()
	b := make([]byte, diagRequestBytes)
	native := binary.NativeEndian
	native.PutUint32(b, diagRequestBytes)
	native.PutUint16(b[4:], diagByFamily)
	native.PutUint16(b[6:], unix.NLM_F_REQUEST)
	b[16], b[17] = unix.AF_INET, unix.IPPROTO_TCP
	native.PutUint32(b[20:], ^uint32(0)) // All states.
	binary.BigEndian.PutUint16(b[24:], uint16(from.Port))
	binary.BigEndian.PutUint16(b[26:], uint16(to.Port))
	copy(b[28:], from.IP.To4())
	copy(b[44:], to.IP.To4())
	native.PutUint64(b[64:], ^uint64(0)) // Any cookie.
	if err := unix.Sendto(fd, b, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, err
	}
	answer := make([]byte, 4<<10)
	n, _, err := unix.Recvfrom(fd, answer, 0)
	if err != nil {
		return 0, err
	}
	if n < diagInodeOffset+4 || native.Uint16(answer[4:]) != diagByFamily {
		return 0, unix.ENOENT
	}
	return native.Uint32(answer[diagInodeOffset:]), nil
}

// socketOwner returns the name of the gateway whose process has the socket open.
func (d *deployment) socketOwner(socket string) string {
	for _, p := range d.processes {
		p.mu.Lock()
		dir := "/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/fd/"
		p.mu.Unlock()
		opened, err := os.Open(dir)
		if err != nil {
			continue
		}
		files, _ := opened.Readdirnames(-1) // The process may have ended.
		_ = opened.Close()
		for _, f := range files {
			if target, err := os.Readlink(dir + f); err == nil && target == socket {
				return p.name
			}
		}
	}
	return ""
}
