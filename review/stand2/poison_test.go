package stand2

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["7"] = poisonFirst }

const (
	poisonPart = "bad0bad0"
	// sharedPart is a part that sound prompts of the tenant share, and those with the poisonous part too.
	sharedPart = "a1a1a1a1"
	contact    = 3 * time.Second
	// tagConfig has the proof tags of the deployment, a streaming route that may be resumed.
	tagConfig = `{"Version":7,"Routes":[{"Name":"r-tag","Host":"ficu95.example","PathPrefix":"/tag/","Kind":"streaming","TimeoutMs":3000,"GoalMs":600,"Priority":2,"Service":"models","Attempts":2,"Public":false,"Sticky":true,"CanResume":true,"GapGoalMs":500}],
"Services":[{"Name":"models","HealthPath":"/health","MaxConns":360,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":551359,"KvTokenBytes":18432,"LinkMbps":550000.0,"Stride":6,"Models":[{"Name":"m"}]}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"school","ApiKeys":["key-school"],"Priority":1,"Unit":"tokens","PlainTokens":200,"RatePerS":0,"Burst":0},{"Name":"shop","ApiKeys":["key-shop"],"Priority":1,"Unit":"tokens","PlainTokens":200,"RatePerS":0,"Burst":0}]}`
)

// answerTag answers a proof tag; the worker crashes when it begins to write an answer on the poisonous part.
func answerTag(e *environment, crashed func()) func(wk *worker, w http.ResponseWriter, r *http.Request, run *run) {
	return func(wk *worker, w http.ResponseWriter, r *http.Request, _ *run) {
		for _, part := range promptParts(r) {
			if part == poisonPart {
				time.Sleep(40 * time.Millisecond) // The prompt is read; the answer would begin now.
				crashed()
				wk.crash(3 * time.Second)
				panic(http.ErrAbortHandler)
			}
		}
		stream(w, r, 4, 40*time.Millisecond, 20*time.Millisecond)
	}
}

// poisonFirst plays a tenant with little traffic, whose prompts share a part. From some moment on, prompts come whose first part
// crashes each worker; they share the other part with the sound ones.
func poisonFirst(e *environment) int {
	const (
		soundEvery  = 2 * time.Second
		poisonEvery = 520 * time.Millisecond
		otherEvery  = 60 * time.Millisecond
		baseline    = 21
		minimum     = 20
	)
	e.store.put("keyed.op", "config", []byte(tagConfig))
	var mu sync.Mutex
	var crashes []time.Time
	crashed := func() { mu.Lock(); crashes = append(crashes, time.Now()); mu.Unlock() }
	for n := range 18 {
		wk := &worker{service: "models", zone: []string{"works-hall", "old-mill", "canal-shed", "front-shop"}[n%4], slots: 64, queue: 134, store: e.store, rec: e.rec, answer: answerTag(e, crashed)}
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
	time.Sleep(2 * time.Second)

	var wg sync.WaitGroup
	stop := make(chan struct{})
	serial := 0
	next := func(prefix string) string {
		mu.Lock()
		defer mu.Unlock()
		serial++
		return fmt.Sprintf("%s%06x", prefix, serial)
	}
	request := func(kind, key, prefix string, gateway int) *call {
		id := next(kind)
		return &call{id: id, gateway: e.gateways[gateway%len(e.gateways)].front(), method: http.MethodPost, host: "ficu95.example", path: "/tag/" + id, key: key, tokens: "1200,24", prefix: prefix + "," + fmt.Sprintf("%x:250", serial), deadline: 3 * time.Second, body: "tag this proof " + id}
	}
	// The other tenant's traffic.
	wg.Add(1)
	served, others := 0, 0
	go func() {
		defer wg.Done()
		t := time.NewTicker(otherEvery)
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-t.C:
			}
			c := request("b", "key-shop", fmt.Sprintf("5e5e%02x:341,7a7a%02x:227", n%8, n%40), n)
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.send()
				mu.Lock()
				others++
				if c.whole && c.status == http.StatusOK {
					served++
				}
				mu.Unlock()
			}()
		}
	}()
	// Sound requests of the quiet tenant; each waits for its end.
	var sound []*call
	soundDone := make(chan struct{})
	var poisonFrom time.Time
	startPoison := make(chan struct{})
	go func() {
		defer close(soundDone)
		t := time.NewTicker(soundEvery)
		defer t.Stop()
		for n := 0; ; n++ {
			c := request("c", "key-school", "c0c0c0c0:341,"+sharedPart+":227", n)
			c.send()
			e.rec.line("sound %s at %s, parts c0c0c0c0,%s: %s, runs %d", c.id, c.gateway, sharedPart, c.result(), len(e.rec.runsOf(c.id)))
			mu.Lock()
			sound = append(sound, c)
			if len(sound) == baseline {
				poisonFrom = time.Now()
				close(startPoison)
			}
			mu.Unlock()
			select {
			case <-stop:
				return
			case <-t.C:
			}
		}
	}()
	<-startPoison
	e.rec.line("prompts with the part %s begin to come", poisonPart)
	var poisonous []*call
	end := poisonFrom.Add(2*contact + 3*time.Second + minimum*soundEvery)
	for n := 0; time.Now().Before(end); n++ {
		if e.trouble {
			c := request("d", "key-school", poisonPart+":341,"+sharedPart+":227", 3*n+1)
			poisonous = append(poisonous, c)
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.send()
				e.rec.line("poisonous %s at %s, parts %s,%s: %s, runs %d", c.id, c.gateway, poisonPart, sharedPart, c.result(), len(e.rec.runsOf(c.id)))
			}()
		}
		time.Sleep(poisonEvery)
	}
	close(stop)
	<-soundDone
	wg.Wait()
	return judgeSound(e, sound, poisonFrom, crashes, poisonous, served, others, minimum)
}

// judgeSound checks the rule LOST on sound requests with the same key.
func judgeSound(e *environment, sound []*call, from time.Time, crashes []time.Time, poisonous []*call, served, others, minimum int) int {
	after := from.Add(2 * contact)
	if len(crashes) > 0 {
		after = crashes[min(4, len(crashes)-1)].Add(2 * contact)
	}
	before, begunBefore, during, begunDuring := 0, 0, 0, 0
	for _, c := range sound {
		begun := 0
		if len(e.rec.runsOf(c.id)) > 0 {
			begun = 1
		}
		switch {
		case c.sentAt.Before(from):
			before++
			begunBefore += begun
		case c.sentAt.After(after):
			during++
			begunDuring += begun
		}
	}
	e.say("%d crashes; %d requests with the part were sent", len(crashes), len(poisonous))
	e.say("sound requests of the same key: %d of %d began before, %d of %d from 2 x ContactMs after the fifth crash on (the last, if there are fewer)", begunBefore, before, begunDuring, during)
	e.say("requests of the other tenant: %d of %d were served", served, others)
	if before < minimum || during < minimum || served*10 < others*9 || (e.trouble && len(crashes) == 0) {
		e.say("too little was played")
		return cannot
	}
	if float64(begunDuring)/float64(during) < 0.5*float64(begunBefore)/float64(before) {
		e.say("LOST: broken")
		return broken
	}
	e.say("LOST: held")
	return held
}
