package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dandelionrail.org/rail/group"
	"dandelionrail.org/rail/platform"
)

// shutdownGrace is how long a gateway may take to exit after SIGTERM.
const shutdownGrace = 4 * time.Second

// process is one gateway, in a process of its own.
type process struct {
	name         string
	seed         uint64 // Chooses the program of each start.
	dir          string
	frontAddress string
	readyAddress string
	storeProxy   *proxy
	group        *group.Group
	recorder     *recorder

	mu        sync.Mutex
	cmd       *exec.Cmd
	ended     chan struct{}
	shouldRun bool // False while the test has stopped it.
	starts    int
	disturbed time.Time // When the process was last started, stopped, paused or resumed.
}

// addressCount is the number of loopback addresses that were assigned. Each gateway has one of its own, so that its ports
// are still free when it is restarted.
var addressCount atomic.Int32

// nextAddress returns a loopback address that was not returned before, of a network that depends on the process.
func nextAddress() string {
	n := addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 3+os.Getpid()%250, n/200, 1+n%200)
}

// The ports of each gateway.
const (
	frontPort   = 8221
	readyPort   = 8224
	peerPort    = 7600
	metricsPort = 9464
)

func newProcess(g *group.Group, rec *recorder, seed uint64, dir, name, zone, storeAddress string) (*process, error) {
	p := &process{name: name, seed: seed, dir: dir, group: g, recorder: rec}
	var err error
	if p.storeProxy, err = newProxy(g, storeAddress); err != nil {
		return nil, err
	}
	ip := nextAddress()
	p.frontAddress, p.readyAddress = fmt.Sprintf("%s:%d", ip, frontPort), fmt.Sprintf("%s:%d", ip, readyPort)
	text := fmt.Sprintf(`Node=%s
Zone=%s
Zones.north=midlands
Zones.south=midlands
Ip=%s
Listen.Front=%s
Listen.Ready=%s
PortRange=%d,%d
Provider.Address=%s
Cloud.Address=%s
Cloud.Duties=usage
Bounds.UsageWindowS=1
Bounds.GraceS=%d
Bounds.LeaseMs=2000
Bounds.RequireFence=true
Bounds.BudgetRatio=%v
Bounds.BudgetExtra=%d
Bounds.QuotaWindowS=8
Bounds.QuotaOver=0.1
Bounds.QuotaSlack=%d
`, name, zone, ip, p.frontAddress, p.readyAddress, peerPort, peerPort+1, p.storeProxy.address(), p.storeProxy.address(), int(shutdownGrace.Seconds()), retryRatio, retryExtra, quotaSlack)
	if err := os.WriteFile(p.settingsPath(), []byte(text), 0o600); err != nil {
		return nil, err
	}
	return p, p.start()
}

func (p *process) settingsPath() string { return filepath.Join(p.dir, p.name+".conf") }

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(programOf(p.seed, p.name, p.starts), "gateway")
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settingsPath(), platform.MetricsVariable+"="+strconv.Itoa(metricsPort))
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.ended, p.shouldRun, p.starts, p.disturbed = cmd, make(chan struct{}), true, p.starts+1, time.Now()
	ended := p.ended
	p.group.Go(func(context.Context) {
		err := cmd.Wait()
		_ = out.Close()
		p.mu.Lock()
		unexpected := p.shouldRun && p.cmd == cmd
		p.mu.Unlock()
		close(ended)
		if unexpected {
			p.recorder.recordViolation("the process of %s exited unexpectedly: %v", p.name, err)
		}
	})
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shouldRun {
		if s == syscall.SIGSTOP || s == syscall.SIGCONT {
			p.recorder.mu.Lock()
			p.recorder.lastPause = time.Now()
			p.recorder.mu.Unlock()
			p.disturbed = time.Now()
		}
		_ = p.cmd.Process.Signal(s) // The process may have exited just now.
	}
}

// restart stops the process with the signal and starts it again after the down time; it does nothing if the process is already stopped.
func (p *process) restart(s syscall.Signal, down time.Duration) {
	p.mu.Lock()
	if !p.shouldRun {
		p.mu.Unlock()
		return
	}
	p.shouldRun, p.disturbed = false, time.Now()
	cmd, ended := p.cmd, p.ended
	p.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Signal(s)
	select {
	case <-ended:
	case <-time.After(shutdownGrace + time.Second):
		p.recorder.recordViolation("DRAIN: %s did not exit within %v after SIGTERM", p.name, shutdownGrace+time.Second)
		_ = cmd.Process.Kill()
		<-ended
	}
	time.Sleep(down)
	if p.group.Context().Err() != nil {
		return
	}
	if err := p.start(); err != nil {
		p.recorder.recordViolation("the process of %s could not be restarted: %v", p.name, err)
	}
}

// kill kills the process, which is not started again.
func (p *process) kill() {
	p.mu.Lock()
	p.shouldRun = false
	cmd, ended := p.cmd, p.ended
	p.mu.Unlock()
	_ = cmd.Process.Kill()
	<-ended
}

// isReady reports whether the gateway's readiness check succeeds.
func (p *process) isReady(client *http.Client) bool {
	resp, err := client.Get("http://" + p.readyAddress + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
