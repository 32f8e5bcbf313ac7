package stand2

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gateway is one process of the project, started with the command of the deploy file.
type gateway struct {
	name, zone, ip, dir, settings string
	cmd                           *exec.Cmd
	ended                         chan error
}

// Ports of each gateway at its own loopback address, as in the sheet's example.
const (
	frontPort   = 8221
	readyPort   = 8224
	metricsPort = 9464
	firstPort   = 7600
	lastPort    = 7615
)

func (g *gateway) front() string { return fmt.Sprintf("%s:%d", g.ip, frontPort) }

// freeNetwork returns a loopback network 127.a.b whose first addresses have the ports free.
func freeNetwork() string {
	for n := 0; n < 2000; n++ {
		network := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+n)%200, 1+n%250)
		free := true
		for host := 1; host <= 8 && free; host++ {
			for _, port := range []int{frontPort, readyPort, metricsPort, firstPort, firstPort + 1} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, host, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return network
		}
	}
	return "127.219.1"
}

// settingsText returns the settings of a machine of the deployment harrowgate-tins.
func settingsText(g *gateway, store string) string {
	return fmt.Sprintf(`Node=%s
Role=entry
Class=front
Serves=front
Ip=%s
Zone=%s
Region=midlands
Zones.works-hall=midlands
Zones.old-mill=midlands
Zones.canal-shed=midlands
Zones.front-shop=midlands
Listen.Front=%s:%d
Listen.Ready=%s:%d
PortRange=%d,%d
Bootstrap=true
LossCounts=false
Limits.CpuShare=0.4
Limits.Cores=1
Limits.MemoryMb=284
Limits.MaxFds=4200
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
Entry=virtual_ip
HeartbeatMs=1200
Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,rollout,platform
Tolerate.Machines=2
Tolerate.Zones=1
Tolerate.Regions=0
Bounds.SeedLagS=3
Bounds.ReuseAfterS=2
Bounds.ContactMs=3000
Bounds.AckMs=4000
Bounds.CatchUpS=4
Bounds.DrainMs=2000
Bounds.GraceS=8
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=2000
Bounds.BackMs=250
Bounds.OuterMs=5000
Bounds.StrictRevoke=false
Bounds.RevokeMs=5000
Bounds.BudgetRatio=0.2
Bounds.BudgetWindowS=10
Bounds.BudgetExtra=52
Bounds.QuotaWindowS=8
Bounds.QuotaOver=0.1
Bounds.QuotaSlack=140000
Bounds.RequireFence=true
Bounds.LeaseMs=3000
Bounds.ThawSlackMs=300
Bounds.UsageWindowS=5
Bounds.UsageOff=0.05
Bounds.UsageLateS=10
Bounds.ExposeShare=0.1
Bounds.ExposeSlack=50
Bounds.RollbackMs=5000
Bounds.RecoverS=12
Bounds.PassMs=120
Bounds.ReuseWindowS=10
Provider.Address=%s
Provider.form=log
Provider.WritesPerS=400
Provider.ReadsPerS=2000
Provider.parts=8
Provider.AppendMs=4.0
Provider.PartMbS=20.0
Provider.ReadMbS=80.0
Provider.RecordBytes=262144
Provider.CallBytes=2097152
Provider.keep_s=300
Provider.PartMb=200
Provider.TtlMinMs=1000
Cloud.Address=%s
Cloud.RatePerS=50.0
Cloud.Duties=usage,scale
Cloud.DutyPerS=50.0
`, g.name, g.ip, g.zone, g.ip, frontPort, g.ip, readyPort, firstPort, lastPort, store, store)
}

// start starts the process; the repository's root is the working folder.
func (g *gateway) start(root string) error {
	log, err := os.OpenFile(filepath.Join(g.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	g.cmd = exec.Command(filepath.Join(root, "target", "dandelionrail"), "gateway")
	g.cmd.Dir = root
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DANDELIONRAIL_CONFIG=" + g.settings, fmt.Sprintf("DANDELIONRAIL_METRICS_PORT=%d", metricsPort)}
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := g.cmd, make(chan error, 1)
	g.ended = ended
	go func() { ended <- cmd.Wait() }()
	return nil
}

// notFirstStart rewrites the settings for a restart, as the platform does: Bootstrap is true in the first start of the system only.
func (g *gateway) notFirstStart() error {
	text, err := os.ReadFile(g.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(g.settings, []byte(strings.Replace(string(text), "Bootstrap=true", "Bootstrap=false", 1)), 0o600)
}

func (g *gateway) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// stop ends the process.
func (g *gateway) stop() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	_ = g.cmd.Process.Signal(syscall.SIGCONT)
	_ = g.cmd.Process.Kill()
	select {
	case <-g.ended:
	case <-time.After(3 * time.Second):
	}
}

func (g *gateway) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", g.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startGateways starts the six machines of the deployment and waits until all of them are ready.
func startGateways(root, dir, store string) ([]*gateway, error) {
	network := freeNetwork()
	zones := []string{"works-hall", "works-hall", "old-mill", "old-mill", "canal-shed", "front-shop"}
	var gateways []*gateway
	for n, zone := range zones {
		g := &gateway{name: fmt.Sprintf("front-%s-%d", zone, 1+n%2), zone: zone, ip: fmt.Sprintf("%s.%d", network, n+1), dir: dir}
		g.settings = filepath.Join(dir, g.name+".conf")
		if err := os.WriteFile(g.settings, []byte(settingsText(g, store)), 0o600); err != nil {
			return gateways, err
		}
		if err := g.start(root); err != nil {
			return gateways, err
		}
		gateways = append(gateways, g)
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, g := range gateways {
			all = all && g.ready()
		}
		if all {
			return gateways, nil
		}
		if time.Now().After(end) {
			return gateways, fmt.Errorf("the gateways are not ready after 10 s")
		}
	}
}
