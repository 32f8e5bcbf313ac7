package harness

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is one small deployment.
type world struct {
	root, dir string
	trouble   bool
	begin     time.Time
	store     *store
	network   string

	mu       sync.Mutex
	file     *os.File
	record   *bufio.Writer
	gateways []*gateway
	workers  []*worker
	next     int
	closed   bool
	// listeners are those of the workers, cut holds the gateways that are partitioned from them.
	listeners []*cutListener
	cut       map[*gateway]bool
}

func newWorld(root, record string, trouble bool) (*world, error) {
	if _, err := os.Stat(filepath.Join(root, "target", "dandelionrail")); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, trouble: trouble, begin: time.Now(), file: f, record: bufio.NewWriter(f), network: fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, 1+os.Getpid()/200%200)}
	w.store = newStore(w)
	w.note("disruption: %v", trouble)
	return w, nil
}

// at returns the seconds since the start.
func (w *world) at() float64 { return time.Since(w.begin).Seconds() }

// line writes a line to the record.
func (w *world) line(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{w.at()}, args...)...)
	}
}

// note writes a line to the record and to standard output.
func (w *world) note(format string, args ...any) {
	fmt.Printf("%8.3f "+format+"\n", append([]any{w.at()}, args...)...)
	w.line(format, args...)
}

// close ends all processes that were started.
func (w *world) close() {
	for _, g := range w.gateways {
		g.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	_ = w.record.Flush()
	_ = w.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// address returns a loopback address that only this case uses.
func (w *world) address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	return fmt.Sprintf("%s.%d", w.network, w.next)
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// listen listens on a free port of the address.
func listen(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	return l
}

// freePorts returns the first of n successive free ports of the address.
func freePorts(ip string, n int) int {
	for first := 21000; first < 29000; first += n {
		var open []net.Listener
		for i := range n {
			if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, first+i)); err == nil {
				open = append(open, l)
			}
		}
		for _, l := range open {
			_ = l.Close()
		}
		if len(open) == n {
			return first
		}
	}
	panic("no free ports")
}

// gateway is one process of the system.
type gateway struct {
	w                  *world
	name, zone, ip     string
	front, ready, conf string
	metrics            int
	cmd                *exec.Cmd
	ended              chan struct{}
	starts             int
	lines              []string
}

// addGateway starts a gateway; extra are further lines of its settings, which replace the usual ones.
func (w *world) addGateway(name, zone string, extra ...string) *gateway {
	ip := w.address()
	first := freePorts(ip, 6)
	g := &gateway{w: w, name: name, zone: zone, ip: ip, front: fmt.Sprintf("%s:%d", ip, first), ready: fmt.Sprintf("%s:%d", ip, first+1), metrics: first + 2, conf: filepath.Join(w.dir, name+".conf")}
	storeAddress := w.store.serve(name, w.address())
	lines := []string{
		"Node=" + name, "Role=entry", "Class=front", "Serves=front", "Ip=" + ip, "Zone=" + zone, "Region=midlands",
		"Listen.Front=" + g.front, "Listen.Ready=" + g.ready, fmt.Sprintf("PortRange=%d,%d", first+3, first+5),
		"Seeds=", "Limits.CpuShare=0.4", "Limits.Cores=1", "Limits.MemoryMb=284", "Limits.MaxFds=4200",
		"Discovery=platform", "Entry=virtual_ip", "HeartbeatMs=1200",
		"Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,rollout,platform",
		"Tolerate.Machines=2", "Tolerate.Zones=1", "Bounds.SeedLagS=3", "Bounds.ReuseAfterS=2", "Bounds.ContactMs=3000", "Bounds.AckMs=4000",
		"Bounds.CatchUpS=4", "Bounds.DrainMs=2000", "Bounds.GraceS=8", "Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=2000", "Bounds.BackMs=250",
		"Bounds.OuterMs=5000", "Bounds.StrictRevoke=false", "Bounds.RevokeMs=5000", "Bounds.BudgetRatio=0.2", "Bounds.BudgetWindowS=10",
		"Bounds.BudgetExtra=52", "Bounds.QuotaWindowS=8", "Bounds.QuotaOver=0.1", "Bounds.QuotaSlack=140000", "Bounds.RequireFence=true",
		"Bounds.LeaseMs=3000", "Bounds.ThawSlackMs=300", "Bounds.UsageWindowS=5", "Bounds.UsageOff=0.05", "Bounds.UsageLateS=10",
		"Bounds.ExposeShare=0.1", "Bounds.ExposeSlack=50", "Bounds.RollbackMs=5000", "Bounds.RecoverS=12", "Bounds.PassMs=120", "Bounds.ReuseWindowS=10",
		"Provider.Address=" + storeAddress, "Provider.form=log", "Provider.WritesPerS=400", "Provider.ReadsPerS=2000", "Provider.parts=8",
		"Provider.keep_s=300", "Provider.TtlMinMs=1000", "Cloud.Address=" + storeAddress, "Cloud.RatePerS=50.0", "Cloud.Duties=usage", "Cloud.DutyPerS=50.0",
	}
	g.lines = append(lines, extra...)
	w.gateways = append(w.gateways, g)
	g.start()
	return g
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() {
	g.starts++
	settings := append(slices.Clone(g.lines), fmt.Sprintf("Bootstrap=%v", g.starts == 1 && time.Since(g.w.begin) < 5*time.Second))
	must(os.WriteFile(g.conf, []byte(strings.Join(settings, "\n")+"\n"), 0o600))
	out, err := os.OpenFile(filepath.Join(g.w.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	g.cmd = exec.Command("target/dandelionrail", "gateway")
	g.cmd.Dir, g.cmd.Stdout, g.cmd.Stderr = g.w.root, out, out
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DANDELIONRAIL_CONFIG=" + g.conf, fmt.Sprintf("DANDELIONRAIL_METRICS_PORT=%d", g.metrics)}
	must(g.cmd.Start())
	ended, cmd := make(chan struct{}), g.cmd
	g.ended = ended
	go func() {
		_ = cmd.Wait() // How it ended stands in its log.
		_ = out.Close()
		close(ended)
	}()
	g.w.line("gateway %s started", g.name)
}

func (g *gateway) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) } // It may have ended already.

// running reports whether the process has not ended.
func (g *gateway) running() bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	<-g.ended
}

// awaitReady waits until the gateway says that it is ready.
func (g *gateway) awaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if resp, err := client.Get("http://" + g.ready + "/-/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// awaitAll waits until all gateways are ready and know each other.
func (w *world) awaitAll() {
	for _, g := range w.gateways {
		if !g.awaitReady(8 * time.Second) {
			panic("gateway " + g.name + " is not ready")
		}
	}
	time.Sleep(2500 * time.Millisecond)
}
