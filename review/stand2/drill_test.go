package stand2

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["8"] = drill }

// drill plays a store that comes back from a copy some seconds old shortly after the first start of the system, while the process that
// holds the duties is killed and started again.
func drill(e *environment) int {
	const (
		lead      = 10 * time.Second // Between the start of the machines and that of the traffic.
		window    = 5 * time.Second
		shortTime = 300 * time.Millisecond // Of the traffic in the first window.
		restartIn = 500 * time.Millisecond
		away      = 300 * time.Millisecond
		watched   = 20 * time.Second
		perSecond = 120.0
	)
	e.store.put("keyed.op", "config", []byte(deskConfig))
	for n := range 4 {
		wk := &worker{service: "desk", zone: []string{"works-hall", "old-mill", "canal-shed", "front-shop"}[n], slots: 6, queue: 24, store: e.store, rec: e.rec}
		wk.answer = func(_ *worker, w http.ResponseWriter, r *http.Request, _ *run) {
			time.Sleep(15 * time.Millisecond)
			text := fmt.Sprintf("%s %0780d", r.Header.Get("X-Request-Id"), 0)
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			_, _ = w.Write([]byte(text))
		}
		if err := wk.start(); err != nil {
			e.say("a worker cannot start: %v", err)
			return cannot
		}
	}
	// The first window with traffic ends shortly after that has begun.
	now := time.Now()
	start := now.Truncate(window).Add(window - lead - shortTime)
	for start.Before(now.Add(100 * time.Millisecond)) {
		start = start.Add(window)
	}
	time.Sleep(time.Until(start))
	e.say("the machines start")
	var err error
	if e.gateways, err = startGateways(e.root, e.dir, e.address); err != nil {
		e.say("%v", err)
		return cannot
	}
	time.Sleep(time.Until(start.Add(lead)))
	e.say("the traffic starts")
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	var mu sync.Mutex
	sent, served := 0, 0
	go func() {
		defer wg.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond)):
			}
			c := &call{id: fmt.Sprintf("%016x", rand.Uint64()), gateway: e.gateways[rand.IntN(len(e.gateways))].front(), method: http.MethodGet, host: "ficu95.example", path: "/lookup/" + strconv.Itoa(n), key: "key-shop", deadline: 1500 * time.Millisecond}
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.send()
				mu.Lock()
				defer mu.Unlock()
				sent++
				if c.whole && c.status == http.StatusOK {
					served++
				}
			}()
		}
	}()
	reported := func() (holder string) {
		e.store.mu.Lock()
		defer e.store.mu.Unlock()
		if len(e.store.usage) > 0 {
			return e.store.holder
		}
		return ""
	}
	for end := time.Now().Add(2 * window); reported() == "" && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	holder := reported()
	if holder == "" {
		e.say("no usage was reported")
		return cannot
	}
	if e.trouble {
		first := e.store.firstWrite("keyed.duties")
		copied := first.Add(-50 * time.Millisecond)
		var killed *gateway
		for _, g := range e.gateways {
			if g.name == holder {
				killed = g
			}
		}
		killed.signal(syscall.SIGKILL)
		e.say("%s, which holds the duties, is killed", holder)
		restarted := make(chan error, 1)
		go func() {
			time.Sleep(restartIn)
			<-killed.ended
			if err := killed.notFirstStart(); err != nil {
				restarted <- err
				return
			}
			restarted <- killed.start(e.root)
		}()
		e.store.restore(copied, away)
		e.say("the store was away for %v and is back from a copy that is %.1f s old; its era is 2", away, time.Since(copied).Seconds())
		if err := <-restarted; err != nil {
			e.say("%s could not be started: %v", holder, err)
			return cannot
		}
		e.say("%s is started again", holder)
	}
	time.Sleep(watched)
	close(stop)
	wg.Wait()
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	e.say("%d of %d lookups were served; usage of %d windows was reported", served, sent, len(e.store.usage))
	if served*10 < sent*8 {
		e.say("too little was served")
		return cannot
	}
	if e.store.differing > 0 {
		e.say("%d usage reports were accepted for a window that had been reported with other counts", e.store.differing)
		e.say("ONE: broken")
		return broken
	}
	e.say("ONE: held")
	return held
}
