package standin

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"

	"magnoliaferry/clock"
	"magnoliaferry/fault"
	"magnoliaferry/provider"
)

// maxControlBytes limits the body of a control request, in bytes.
const maxControlBytes = 1 << 20

// addControl adds the endpoints that change the platform's faults and the state that it reports.
func (p *Platform) addControl(mux *http.ServeMux) {
	mux.HandleFunc("POST /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Step  string       `json:"step"`
			Kind  fault.Kind   `json:"kind"`
			Delay clock.Millis `json:"delay-ms"` // ignored if Count is above 0
			Count int          `json:"count"`    // number of calls; 0: until cleared
		}
		if !decode(w, r, maxControlBytes, &body) {
			return
		}
		switch body.Kind {
		case fault.Down, fault.Slow, fault.LoseRequest, fault.LoseAnswer:
		default:
			http.Error(w, "unknown kind of fault", http.StatusBadRequest)
			return
		}
		if body.Count > 0 {
			p.Faults.Next(body.Step, body.Kind, body.Count)
		} else {
			p.Faults.Always(body.Step, body.Kind, body.Delay)
		}
		eventFault.Log(r.Context(), p.Logger, slog.String("step", body.Step), slog.String("kind", string(body.Kind)))
	})
	mux.HandleFunc("POST /control/clear", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Step string `json:"step"` // empty: all steps
		}
		if !decode(w, r, maxControlBytes, &body) {
			return
		}
		if body.Step == "" {
			p.Faults.ClearAll()
		} else {
			p.Faults.Clear(body.Step)
		}
		eventFault.Log(r.Context(), p.Logger, slog.String("step", body.Step), slog.String("kind", "none"))
	})
	zoneHandler := func(change func(string)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			var body struct {
				Zone string `json:"zone"`
			}
			if decode(w, r, maxControlBytes, &body) {
				change(body.Zone)
				eventFault.Log(r.Context(), p.Logger, slog.String("path", r.URL.Path), slog.String("zone", body.Zone))
			}
		}
	}
	mux.HandleFunc("POST /control/partition", zoneHandler(func(z string) { p.Faults.Partition(z) }))
	mux.HandleFunc("POST /control/heal", zoneHandler(func(z string) { p.Faults.Heal(z) }))
	mux.HandleFunc("POST /control/instances", func(w http.ResponseWriter, r *http.Request) {
		var body []provider.InstanceFields
		if decode(w, r, maxControlBytes, &body) {
			for _, f := range body {
				p.Store.SetInstance(provider.NewInstance(f))
			}
		}
	})
	mux.HandleFunc("POST /control/instances/remove", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			ID string `json:"id"`
		}
		if decode(w, r, maxControlBytes, &body) {
			p.Store.RemoveInstance(body.ID)
		}
	})
	mux.HandleFunc("POST /control/tasks", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			ID     string             `json:"id"`
			State  provider.TaskState `json:"state"`
			Reason string             `json:"reason"`
		}
		if decode(w, r, maxControlBytes, &body) {
			p.Store.SetTaskState(body.ID, body.State, body.Reason)
		}
	})
	mux.HandleFunc("POST /control/workers", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Instance string `json:"instance"`
			Address  string `json:"address"`
		}
		if decode(w, r, maxControlBytes, &body) {
			p.AttachWorker(body.Instance, p.remoteInFlight(body.Address))
		}
	})
	mux.HandleFunc("GET /control/state", func(w http.ResponseWriter, _ *http.Request) {
		reads, transactions := p.Store.Counts()
		reply(w, http.StatusOK, struct {
			Reads        int64 `json:"reads"`
			Transactions int64 `json:"transactions"`
		}{reads, transactions})
	})
}

// remoteInFlight returns a function that queries a worker stand-in in another process for its requests in flight. If the worker
// does not answer within 1 s the function returns the last known number, so that a missing answer does not end a drain.
func (p *Platform) remoteInFlight(address string) func(context.Context) int {
	last := 0
	return func(ctx context.Context) int {
		ctx, cancel := p.Clock.WithTimeout(ctx, clock.Second)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/stand-in/state", nil)
		if err != nil {
			return last
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return last
		}
		defer func() { _ = response.Body.Close() }() // the answer was read already
		var state workerState
		if json.NewDecoder(io.LimitReader(response.Body, maxControlBytes)).Decode(&state) == nil {
			last = state.InFlight
		}
		return last
	}
}
