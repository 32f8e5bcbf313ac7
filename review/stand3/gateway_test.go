package stand3

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"
)

var ipCount atomic.Int32

// freeIP returns a loopback address that no other part of the run has.
func freeIP() string {
	for {
		n := ipCount.Add(1)
		ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+n/200, 1+n%200)
		l, err := net.Listen("tcp", ip+":9464") // The port of the metrics, which the deploy file names.
		if err != nil {
			continue
		}
		_ = l.Close()
		return ip
	}
}

// freePort returns a port of the address that nothing listens on.
func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// gatewayProcess is one process of the project's program, started with the command of the deploy file.
type gatewayProcess struct {
	e                        *environment
	name, zone, front, ready string
	settings                 string
	cmd                      *exec.Cmd
	ended                    chan struct{}
	client                   *http.Client
}

// startGateways starts so many gateways, and waits until all are ready.
func (e *environment) startGateways(n int, zones []string, bounds map[string]string) []*gatewayProcess {
	var all []*gatewayProcess
	for i := range n {
		all = append(all, e.newGateway(i, zones, bounds))
	}
	for _, g := range all {
		g.start()
	}
	for _, g := range all {
		g.awaitReady()
	}
	return all
}

func (e *environment) newGateway(i int, zones []string, bounds map[string]string) *gatewayProcess {
	ip := freeIP()
	g := &gatewayProcess{e: e, zone: zones[i%len(zones)]}
	g.name = fmt.Sprintf("front-%s-%d", g.zone, 1+i/len(zones))
	g.front, g.ready = fmt.Sprintf("%s:%d", ip, freePort(ip)), fmt.Sprintf("%s:%d", ip, freePort(ip))
	var b strings.Builder
	line := func(key string, value any) { fmt.Fprintf(&b, "%s=%v\n", key, value) }
	line("Node", g.name)
	line("Role", "entry")
	line("Class", "front")
	line("Serves", "front")
	line("Ip", ip)
	line("Zone", g.zone)
	line("Region", "midlands")
	for _, z := range zones {
		line("Zones."+z, "midlands")
	}
	line("Listen.Front", g.front)
	line("Listen.Ready", g.ready)
	line("PortRange", "7600,7615")
	line("Bootstrap", true)
	line("Limits.CpuShare", 0.4)
	line("Limits.Cores", 1)
	line("Limits.MemoryMb", 284)
	line("Limits.MaxFds", 4200)
	line("Limits.LinkMbps", 1000.0)
	line("Discovery", "platform")
	line("Entry", "virtual_ip")
	line("HeartbeatMs", heartbeat.Milliseconds())
	line("Contracts", "base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,rollout,platform")
	line("Tolerate.Machines", 2)
	line("Tolerate.Zones", 1)
	for key, value := range bounds {
		line("Bounds."+key, value)
	}
	line("Provider.Address", e.store.address())
	line("Provider.form", "log")
	line("Provider.WritesPerS", 400)
	line("Provider.ReadsPerS", 2000)
	line("Cloud.Address", e.store.address())
	line("Cloud.RatePerS", 50.0)
	line("Cloud.Duties", "usage")
	g.settings = filepath.Join(e.dir, g.name+".conf")
	if err := os.WriteFile(g.settings, []byte(b.String()), 0o600); err != nil {
		panic(err)
	}
	dialer := &net.Dialer{Timeout: time.Second}
	g.client = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 200, IdleConnTimeout: 8 * time.Second, DisableCompression: true}}
	e.mu.Lock()
	e.gateways = append(e.gateways, g)
	e.mu.Unlock()
	return g
}

func (g *gatewayProcess) start() {
	out, err := os.OpenFile(filepath.Join(g.e.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	cmd := exec.Command(filepath.Join(g.e.root, "target", "dandelionrail"), "gateway")
	cmd.Dir = g.e.root
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DANDELIONRAIL_CONFIG=" + g.settings, "DANDELIONRAIL_METRICS_PORT=9464"}
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	ended := make(chan struct{})
	g.cmd, g.ended = cmd, ended
	g.e.note("%s starts, callers at %s", g.name, g.front)
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(ended)
	}()
}

// kill kills the process and waits for its end.
func (g *gatewayProcess) kill() {
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	<-g.ended
}

func (g *gatewayProcess) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if resp, err := client.Get("http://" + g.ready + "/-/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				g.e.note("%s is ready", g.name)
				return
			}
		}
	}
	panic(g.name + " is not ready")
}

// bounds are those of the sheet of the smallest deployment.
func bounds() map[string]string {
	return map[string]string{
		"SeedLagS": "3", "ReuseAfterS": "2", "ContactMs": "3000", "AckMs": "4000", "CatchUpS": "4", "DrainMs": "2000", "GraceS": "8", "LossSlackMs": "200",
		"ConfigApplyMs": "2000", "BackMs": "250", "OuterMs": "5000", "BudgetRatio": "0.2", "BudgetWindowS": "10", "BudgetExtra": "52", "QuotaWindowS": "8",
		"QuotaOver": "0.1", "QuotaSlack": "140000", "RequireFence": "true", "LeaseMs": "3000", "ThawSlackMs": "300", "UsageWindowS": "5", "UsageOff": "0.05",
		"UsageLateS": "10", "ExposeShare": "0.1", "ExposeSlack": "50", "RollbackMs": "5000", "RecoverS": "12", "PassMs": "120", "ReuseWindowS": "10",
	}
}
