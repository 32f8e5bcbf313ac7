package stand2

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["9"] = partitionAndStorm }

// partitionAndStorm partitions two of the six machines from all workers, and lets configurations come in quick succession meanwhile.
func partitionAndStorm(e *environment) int {
	const (
		calm      = 5 * time.Second
		cutFor    = 7 * time.Second
		stormGap  = 330 * time.Millisecond
		stormFor  = 4 * time.Second
		perSecond = 60.0
	)
	config := func(version, routes int) {
		text := deskConfig
		for n := range routes {
			text = strings.Replace(text, `"Routes":[`, fmt.Sprintf(`"Routes":[{"Name":"r-idle%d","Host":"ficu95.example","PathPrefix":"/idle%d/","Kind":"idempotent","TimeoutMs":800,"GoalMs":100,"Priority":2,"Service":"desk","Attempts":2,"Public":false},`, n, n), 1)
		}
		text = strings.Replace(text, `"Version":7`, `"Version":`+strconv.Itoa(version), 1)
		e.store.put("keyed.op", "config", []byte(text))
		e.rec.line("configuration %d is acknowledged", version)
	}
	config(7, 0)
	k := newLinks()
	for n := range 4 {
		wk := &worker{service: "desk", zone: []string{"works-hall", "old-mill", "canal-shed", "front-shop"}[n], slots: 6, queue: 24, store: e.store, rec: e.rec, linked: k}
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
	var err error
	if e.gateways, err = startGateways(e.root, e.dir, e.address); err != nil {
		e.say("%v", err)
		return cannot
	}
	k.mu.Lock()
	k.gateways = e.gateways
	k.mu.Unlock()
	time.Sleep(2 * time.Second)
	cut := map[string]*gateway{} // The machines of the zones with one each.
	for _, g := range e.gateways {
		if g.zone == "canal-shed" || g.zone == "front-shop" {
			cut[g.front()] = g
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var calls []*call
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond)):
			}
			c := &call{id: fmt.Sprintf("%016x", rand.Uint64()), gateway: e.gateways[rand.IntN(len(e.gateways))].front(), method: http.MethodPost, host: "ficu95.example", path: "/order/1", key: "key-shop", deadline: 1500 * time.Millisecond, body: fmt.Sprintf("%0600d", n)}
			if rand.IntN(100) < 28 {
				c.method, c.path, c.body = http.MethodGet, "/lookup/"+strconv.Itoa(n), ""
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.send()
				e.rec.line("%s %s at %s: %s", c.method, c.id, c.gateway, c.result())
				mu.Lock()
				calls = append(calls, c)
				mu.Unlock()
			}()
		}
	}()
	time.Sleep(calm)
	began := time.Now()
	if e.trouble {
		for address, g := range cut {
			k.setCut(g, true)
			e.say("%s (%s) is partitioned from all workers", g.name, address)
		}
	}
	time.Sleep(contact)
	version := 7
	for end := time.Now().Add(stormFor); time.Now().Before(end); time.Sleep(stormGap) {
		version++
		config(version, version-7)
	}
	time.Sleep(time.Until(began.Add(cutFor)))
	ended := time.Now()
	for _, g := range cut {
		k.setCut(g, false)
	}
	e.rec.line("the partition ends; %d configurations were sent", version-7)
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	sent, served := map[bool]int{}, map[bool]int{}
	for _, c := range calls {
		if c.sentAt.Before(began.Add(contact)) || c.sentAt.After(ended) {
			continue
		}
		partitioned := cut[c.gateway] != nil
		sent[partitioned]++
		if c.whole && c.status == http.StatusOK {
			served[partitioned]++
		}
	}
	failed := sent[true] - served[true]
	e.say("first tries from ContactMs after the cut to its end: %d of %d were served at the two machines, %d of %d at the others", served[true], sent[true], served[false], sent[false])
	if sent[true] < 20 || sent[false] < 20 || served[false]*10 < sent[false]*9 {
		e.say("too little was played")
		return cannot
	}
	allowed := 10 + (sent[true]+sent[false])/50
	less := float64(served[true])/float64(sent[true]) < 2.0/3*float64(served[false])/float64(sent[false])
	e.say("%d failed there; more than %d break the rule if less than two thirds as many are served", failed, allowed)
	if less && failed > allowed {
		e.say("RECOVER: broken")
		return broken
	}
	e.say("RECOVER: held")
	return held
}
