package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
)

// upkeep is an upkeep that the platform has begun.
type upkeep struct {
	machine string
	worker  string
	tasks   []string // that were at work on the worker
}

// machinePlatform is a stand-in of the platform's service for machines. With one service no machine can be moved.
type machinePlatform struct {
	site *site

	mu      sync.Mutex
	down    bool           // it answers 503 and does nothing
	refused []string       // machines whose upkeep was ordered while it was down, in order
	tokens  map[string]int // highest fencing token by machine
	upkeeps []upkeep       // in order; a machine has at most one, as there is one wave
}

func (p *machinePlatform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.site.record.add("platform: the service for machines answers with 503: %v", down)
}

// ServeHTTP implements http.Handler.
func (p *machinePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if r.Method == http.MethodPost {
		if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
			answer(w, http.StatusBadRequest, struct{}{})
			return
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		if r.Method == http.MethodPost {
			p.site.record.add("platform: %s %s is answered 503", r.URL.Path, order.Machine)
			p.refused = append(p.refused, order.Machine)
		}
		answer(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /machines":
		answer(w, http.StatusOK, map[string]any{"machines": p.list()})
	case "POST /machine-upkeep":
		token, _ := strconv.Atoi(r.Header.Get("Magnoliaferry-Fencing-Token")) // a missing one counts as 0
		status, reason := p.upkeep(order.Machine, token)
		p.site.record.add("platform: upkeep of %s by %s with token %d: %d %s", order.Machine, r.Header.Get("Magnoliaferry-Lease-Holder"), token, status, reason)
		answer(w, status, map[string]string{"reason": reason})
	default:
		answer(w, http.StatusBadRequest, struct{}{})
	}
}

// current returns the newest worker of each machine, in the order of the machines.
func (p *machinePlatform) current() []*worker {
	all := p.site.allWorkers()
	var newest []*worker
	for i, m := range all {
		if !slices.ContainsFunc(all[i+1:], func(later *worker) bool { return later.machine == m.machine }) {
			newest = append(newest, m)
		}
	}
	return newest
}

func (p *machinePlatform) list() []map[string]any {
	list := []map[string]any{}
	for _, m := range p.current() {
		state, id := "up", m.id
		if !m.up() {
			state, id = "down", ""
			if slices.ContainsFunc(p.upkeeps, func(u upkeep) bool { return u.worker == m.id }) {
				state = "upkeep"
			}
		}
		list = append(list, map[string]any{"machine": m.machine, "pool": m.service, "state": state, "zone": m.zone, "id": id,
			"labels": []string{"kind-a", m.rack}, "capacity": map[string]int{"cpu": workerCPU, "memMb": workerMemory, "gpus": 0}})
	}
	return list
}

// upkeep begins the upkeep of a machine; it returns the status and, for a conflict, the reason. p.mu is held.
func (p *machinePlatform) upkeep(machine string, token int) (status int, reason string) {
	i := slices.IndexFunc(p.current(), func(w *worker) bool { return w.machine == machine })
	if i < 0 {
		return http.StatusBadRequest, ""
	}
	if p.tokens == nil {
		p.tokens = map[string]int{}
	}
	if token < p.tokens[machine] {
		return http.StatusConflict, "fence"
	}
	p.tokens[machine] = token
	if slices.ContainsFunc(p.upkeeps, func(u upkeep) bool { return u.machine == machine }) {
		return http.StatusOK, ""
	}
	w := p.current()[i]
	if !w.up() {
		return http.StatusConflict, "busy"
	}
	p.upkeeps = append(p.upkeeps, upkeep{machine, w.id, w.leave()})
	return http.StatusOK, ""
}

// firstRefused returns the machine of the first order that was refused while the service was down, or "".
func (p *machinePlatform) firstRefused() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.refused) == 0 {
		return ""
	}
	return p.refused[0]
}

// begun returns the upkeeps that have begun.
func (p *machinePlatform) begun() []upkeep {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.upkeeps)
}
