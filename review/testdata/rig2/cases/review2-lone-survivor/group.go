package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/review/testdata/rig2/rig"
)

const (
	ranks, sets, experts, placements, spare = 16, 4, 64, 5, 2
	passTime                                = 15 * time.Millisecond
	// passesPerRequest is how many passes a request takes; each sends one event.
	passesPerRequest = 4
	// usualCount and hotCount are how often a pass chooses each expert, and the one that the requests like.
	usualCount, hotCount = 100, 4_000
)

type armed struct {
	Version uint64 `json:"version"`
	Pass    uint64 `json:"step"`
}

type order struct {
	Operation string    `json:"operation"`
	Epoch     uint64    `json:"epoch"`
	Version   uint64    `json:"version"`
	Pass      uint64    `json:"step"`
	Map       [][][]int `json:"map"`
}

type rank struct {
	id, address               string
	active, prepared, highest uint64
	armed                     *armed
	held                      *uint64
	maps                      map[uint64][][][]int
	counts                    []int
}

// job is a request that runs; each pass sends one value.
type job struct {
	left  int
	event chan int
}

// group is a group of ranks as PROTOCOL.md has it: a pass begins only if there is work, no rank holds it, and it begins on all ranks.
type group struct {
	mu    sync.Mutex
	ranks []*rank
	pass  uint64
	jobs  []*job
	// hot is the expert that the requests like.
	hot int
	// mixed describes the passes that began with two maps.
	mixed []string
	// carriedOut is called with the lock after an order was carried out.
	carriedOut func(o order, status int)
}

func newGroup() *group {
	g := &group{}
	first := make([][][]int, sets)
	for s := range first {
		first[s] = make([][]int, ranks)
		for e := range experts {
			first[s][e%ranks] = append(first[s][e%ranks], e)
		}
	}
	for i := range ranks {
		g.ranks = append(g.ranks, &rank{id: fmt.Sprintf("i-rank-%d", i), maps: map[uint64][][][]int{0: first}, counts: make([]int, sets*experts)})
	}
	return g
}

// serve serves one rank at an address.
func (g *group) serve(i int, address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		rig.Fail("listen: %v", err)
	}
	g.ranks[i].address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, g.report(i)) })
	mux.HandleFunc("GET /v1/picked", func(w http.ResponseWriter, r *http.Request) {
		reply(w, http.StatusOK, g.picked(i, strings.Contains(r.URL.RawQuery, "lists")))
	})
	mux.HandleFunc("POST /v1/order", func(w http.ResponseWriter, r *http.Request) { g.takeOrder(w, r, i) })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { g.request(w, r, i) })
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}).Serve(l) }()
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_, _ = w.Write(data)
	}
}

// run begins a pass each passTime while there is work.
func (g *group) run() {
	for range time.Tick(passTime) {
		g.mu.Lock()
		g.beginPass()
		g.mu.Unlock()
	}
}

func (g *group) idle() bool { return len(g.jobs) == 0 }

func (g *group) beginPass() {
	next := g.pass + 1
	if g.idle() || slices.ContainsFunc(g.ranks, func(r *rank) bool { return r.held != nil && *r.held == next }) {
		return
	}
	g.pass = next
	for _, r := range g.ranks {
		if r.armed != nil && r.armed.Pass == next {
			r.active, r.armed = r.armed.Version, nil
		}
		for e := range r.counts {
			r.counts[e] += usualCount
		}
		for s := range sets {
			r.counts[s*experts+g.hot] += hotCount
		}
	}
	g.checkMaps()
	for _, j := range g.jobs {
		j.event <- int(next)
		j.left--
	}
	g.jobs = slices.DeleteFunc(g.jobs, func(j *job) bool { return j.left == 0 })
}

func (g *group) checkMaps() {
	first := g.ranks[0]
	for i, r := range g.ranks[1:] {
		if r.active != first.active {
			g.mixed = append(g.mixed, fmt.Sprintf("pass %d begins: rank 0 has map %d, rank %d has map %d", g.pass, first.active, i+1, r.active))
		}
	}
}

func (g *group) report(i int) map[string]any {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[i]
	out := map[string]any{
		"stage": "both", "models": []any{}, "busy": false, "sequence": 0, "waiting": 0, "running": len(g.jobs), "kv_cache_used": 0,
		"kv_cache_total": 90000, "handles": 0, "pace": 1,
		"group": map[string]any{"name": "g", "epoch": 1, "rank": i, "state": "open"}, "size": ranks,
		"step": g.pass, "map": r.active, "prepared": r.prepared,
	}
	if r.armed != nil {
		out["armed"] = *r.armed
	}
	if r.held != nil {
		out["held"] = *r.held
	}
	return out
}

func (g *group) picked(i int, lists bool) map[string]any {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[i]
	if !lists {
		return map[string]any{"step": g.pass, "epoch": 1, "counts": slices.Clone(r.counts)}
	}
	list := make([][]int, sets)
	for s := range list {
		list[s] = r.maps[r.active][s][i]
	}
	return map[string]any{"epoch": 1, "map": map[string]any{"version": r.active, "experts": list}, "prepared": nil}
}

// takeOrder carries an order out and answers it.
func (g *group) takeOrder(w http.ResponseWriter, req *http.Request, i int) {
	var o order
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	g.mu.Lock()
	status := g.carryOut(i, o)
	if o.Operation == "hold" || o.Operation == "go" {
		rec.Logf("rank %d answers the order %s with %d", i, o, status)
	}
	if g.carriedOut != nil {
		g.carriedOut(o, status)
	}
	g.mu.Unlock()
	reply(w, status, nil)
}

// String returns a short description.
func (o order) String() string {
	switch o.Operation {
	case "prepare", "disarm":
		return fmt.Sprintf("%s (map %d)", o.Operation, o.Version)
	case "arm":
		return fmt.Sprintf("arm (map %d, step %d)", o.Version, o.Pass)
	}
	return fmt.Sprintf("%s (step %d)", o.Operation, o.Pass)
}

// carryOut carries an order out and returns its status. The caller holds the lock.
func (g *group) carryOut(i int, o order) int {
	r := g.ranks[i]
	if o.Epoch != 1 {
		return http.StatusConflict
	}
	switch o.Operation {
	case "prepare":
		return r.prepare(o)
	case "arm":
		return r.arm(o, g.pass)
	case "disarm":
		if r.armed == nil || r.armed.Version != o.Version {
			return http.StatusConflict
		}
		r.armed = nil
	case "hold":
		if r.held != nil && *r.held == o.Pass && o.Pass > g.pass {
			return http.StatusOK
		}
		if o.Pass <= g.pass || r.held != nil && *r.held > g.pass {
			return http.StatusConflict
		}
		r.held = &o.Pass
	case "go":
		if r.held == nil || *r.held != o.Pass {
			return http.StatusConflict
		}
		r.held = nil
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

func (r *rank) prepare(o order) int {
	switch {
	case r.prepared == o.Version && o.Version != 0:
		return http.StatusOK
	case o.Version <= r.highest || r.armed != nil || len(o.Map) != sets:
		return http.StatusConflict
	}
	r.highest, r.prepared = o.Version, o.Version
	r.maps[o.Version] = o.Map
	return http.StatusAccepted
}

func (r *rank) arm(o order, pass uint64) int {
	next := armed{o.Version, o.Pass}
	switch {
	case r.armed != nil && *r.armed == next:
		return http.StatusOK
	case r.armed != nil || r.prepared != o.Version || o.Pass <= pass:
		return http.StatusConflict
	}
	r.armed = &next
	return http.StatusAccepted
}

// request runs a client's request: one event in each of its passes.
func (g *group) request(w http.ResponseWriter, req *http.Request, i int) {
	id, attempt := g.ranks[i].id, req.Header.Get("Attempt-Id")
	if req.URL.Path == "/health" {
		w.Header().Set("Instance-Id", id)
		return
	}
	w.Header().Set("Attempt-Id", attempt)
	if req.Header.Get("Expected-Instance") != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	j := &job{left: passesPerRequest, event: make(chan int, passesPerRequest)}
	g.mu.Lock()
	g.jobs = append(g.jobs, j)
	g.mu.Unlock()
	rec.Logf("%s: rank %d has it", attempt, i)
	w.Header().Set("Response-Seal", id+".seal")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= passesPerRequest; n++ {
		select {
		case <-j.event:
		case <-req.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", n)
		w.(http.Flusher).Flush()
	}
}
