package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"magnoliaferry/clock"
	"magnoliaferry/strictjson"
)

// The defaults of optional fields.
const (
	DefaultSlots                          = 8
	DefaultConnections                    = 64
	DefaultRackSize                       = 4
	DefaultQueueLength                    = 200
	DefaultQueueWait         clock.Millis = 2 * clock.Second
	DefaultMaintenancePeriod clock.Millis = 28 * clock.Day
	DefaultDeadline          clock.Millis = 10 * clock.Second
	DefaultMaxDeadline       clock.Millis = 30 * clock.Second
	DefaultRunTime           clock.Millis = clock.Hour
	DefaultAttempts                       = 5
)

type documentWire struct {
	Name     string        `json:"name"`
	Weights  weightsWire   `json:"weights"`
	Zones    []zoneWire    `json:"zones"`
	Pools    []poolWire    `json:"pools"`
	Services []serviceWire `json:"services"`
	Teams    []teamWire    `json:"teams"`
	Jobs     []jobWire     `json:"jobs"`
}

type weightsWire struct {
	RollOutTime int `json:"roll-out-time"`
	Protection  int `json:"protection"`
	BufferCost  int `json:"buffer-cost"`
	Moves       int `json:"moves"`
}

type zoneWire struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

type failuresWire struct {
	Racks   int `json:"racks,omitempty"`
	Zones   int `json:"zones,omitempty"`
	Workers int `json:"workers,omitempty"`
}

type poolWire struct {
	Name              string              `json:"name"`
	Contact           string              `json:"contact"`
	Instances         int                 `json:"instances"`
	Capacity          int                 `json:"capacity"`
	MaxUnavailable    int                 `json:"max-unavailable"`
	Spare             bool                `json:"spare,omitempty"`
	Slots             int                 `json:"slots"`
	Connections       int                 `json:"connections"`
	Cores             int                 `json:"cores"`
	MemoryMB          strictjson.Size     `json:"memory"`
	RackSize          int                 `json:"rack-size"`
	MaxInFlight       int                 `json:"max-in-flight,omitempty"`
	QueueLength       int                 `json:"queue-length"`
	QueueWait         strictjson.Duration `json:"queue-wait"`
	MaintenancePeriod strictjson.Duration `json:"maintenance-period"`
	Survive           failuresWire        `json:"survive"`
}

type serviceWire struct {
	Name        string              `json:"name"`
	Pool        string              `json:"pool"`
	Deadline    strictjson.Duration `json:"deadline"`
	MaxDeadline strictjson.Duration `json:"max-deadline"`
	Urgency     Urgency             `json:"urgency"`
	// IdempotentMethods is a pointer to distinguish an empty list (no method is idempotent) from a missing field (the
	// default methods).
	IdempotentMethods *[]string `json:"idempotent-methods,omitempty"`
}

type teamWire struct {
	Name        string          `json:"name"`
	Contact     string          `json:"contact"`
	Callers     []string        `json:"callers,omitempty"`
	MaxInFlight int             `json:"max-in-flight,omitempty"`
	Cores       int             `json:"cores,omitempty"`
	MemoryMB    strictjson.Size `json:"memory,omitempty"`
}

type jobWire struct {
	Name         string              `json:"name"`
	Team         string              `json:"team"`
	Pool         string              `json:"pool"`
	Urgency      Urgency             `json:"urgency"`
	RunOnce      bool                `json:"run-once,omitempty"`
	Cores        int                 `json:"cores"`
	MemoryMB     strictjson.Size     `json:"memory"`
	Accelerators int                 `json:"accelerators,omitempty"`
	RunTime      strictjson.Duration `json:"run-time"`
	Attempts     int                 `json:"attempts"`
	Command      []string            `json:"command"`
}

// Encode returns the canonical body: indented JSON in which defaults are written out and the lists of sections (by
// name), callers and methods are sorted, so that equal configurations have equal bytes.
func Encode(c *Configuration) []byte {
	body := marshal(toWire(c.f))
	var indented bytes.Buffer
	if err := json.Indent(&indented, body, "", "  "); err != nil {
		panic("config: " + err.Error()) // unreachable: the input is the output of encoding/json
	}
	indented.WriteByte('\n')
	return indented.Bytes()
}

// Digest returns the SHA-256 of the canonical body in lower-case hexadecimal, 64 characters.
func Digest(c *Configuration) string {
	c.digestOnce.Do(func() {
		sum := sha256.Sum256(Encode(c))
		c.digest = hex.EncodeToString(sum[:])
	})
	return c.digest
}

// marshal returns compact JSON; it panics on an encoding error, which the wire types cannot cause.
func marshal(v any) []byte {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		panic("config: " + err.Error())
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n"))
}

func toWire(f Fields) documentWire {
	return documentWire{
		Name:     f.Name,
		Weights:  weightsWire(f.Weights),
		Zones:    convertAndSort(f.Zones, zoneToWire, func(z zoneWire) string { return z.Name }),
		Pools:    convertAndSort(f.Pools, poolToWire, func(p poolWire) string { return p.Name }),
		Services: convertAndSort(f.Services, serviceToWire, func(s serviceWire) string { return s.Name }),
		Teams:    convertAndSort(f.Teams, teamToWire, func(t teamWire) string { return t.Name }),
		Jobs:     convertAndSort(f.Jobs, jobToWire, func(j jobWire) string { return j.Name }),
	}
}

func convertAndSort[F, W any](fields []F, convert func(F) W, name func(W) string) []W {
	converted := make([]W, len(fields))
	for i, f := range fields {
		converted[i] = convert(f)
	}
	slices.SortStableFunc(converted, func(a, b W) int { return cmp.Compare(name(a), name(b)) })
	return converted
}

func zoneToWire(z ZoneFields) zoneWire { return zoneWire(z) }

func poolToWire(p PoolFields) poolWire {
	return poolWire{Name: p.Name, Contact: p.Contact, Instances: p.Instances, Capacity: p.Capacity,
		MaxUnavailable: p.MaxUnavailable, Spare: p.Spare, Slots: p.Slots, Connections: p.Connections, Cores: p.Cores,
		MemoryMB: strictjson.Size(p.MemoryMB), RackSize: p.RackSize, MaxInFlight: p.MaxInFlight, QueueLength: p.QueueLength,
		QueueWait: strictjson.Duration(p.QueueWait), MaintenancePeriod: strictjson.Duration(p.MaintenancePeriod),
		Survive: failuresWire(p.Survive)}
}

func serviceToWire(s ServiceFields) serviceWire {
	w := serviceWire{Name: s.Name, Pool: s.Pool, Deadline: strictjson.Duration(s.Deadline), MaxDeadline: strictjson.Duration(s.MaxDeadline),
		Urgency: s.Urgency}
	if s.IdempotentMethods != nil {
		methods := slices.Sorted(slices.Values(s.IdempotentMethods))
		if methods == nil {
			methods = []string{}
		}
		w.IdempotentMethods = &methods
	}
	return w
}

func teamToWire(t TeamFields) teamWire {
	return teamWire{Name: t.Name, Contact: t.Contact, Callers: slices.Sorted(slices.Values(t.Callers)),
		MaxInFlight: t.MaxInFlight, Cores: t.Cores, MemoryMB: strictjson.Size(t.MemoryMB)}
}

func jobToWire(j JobFields) jobWire {
	return jobWire{Name: j.Name, Team: j.Team, Pool: j.Pool, Urgency: j.Urgency, RunOnce: j.RunOnce, Cores: j.Cores,
		MemoryMB: strictjson.Size(j.MemoryMB), Accelerators: j.Accelerators, RunTime: strictjson.Duration(j.RunTime), Attempts: j.Attempts,
		Command: j.Command}
}

func (w documentWire) fields() Fields {
	f := Fields{Name: w.Name, Weights: Weights(w.Weights)}
	for _, z := range w.Zones {
		f.Zones = append(f.Zones, ZoneFields(z))
	}
	for _, p := range w.Pools {
		f.Pools = append(f.Pools, PoolFields{Name: p.Name, Contact: p.Contact, Instances: p.Instances,
			Capacity: p.Capacity, MaxUnavailable: p.MaxUnavailable, Spare: p.Spare, Slots: p.Slots,
			Connections: p.Connections, Cores: p.Cores, MemoryMB: int(p.MemoryMB), RackSize: p.RackSize,
			MaxInFlight: p.MaxInFlight, QueueLength: p.QueueLength, QueueWait: clock.Millis(p.QueueWait),
			MaintenancePeriod: clock.Millis(p.MaintenancePeriod), Survive: Failures(p.Survive)})
	}
	for _, s := range w.Services {
		service := ServiceFields{Name: s.Name, Pool: s.Pool, Deadline: clock.Millis(s.Deadline),
			MaxDeadline: clock.Millis(s.MaxDeadline), Urgency: s.Urgency}
		if s.IdempotentMethods != nil {
			service.IdempotentMethods = *s.IdempotentMethods
		}
		f.Services = append(f.Services, service)
	}
	for _, t := range w.Teams {
		f.Teams = append(f.Teams, TeamFields{Name: t.Name, Contact: t.Contact, Callers: t.Callers,
			MaxInFlight: t.MaxInFlight, Cores: t.Cores, MemoryMB: int(t.MemoryMB)})
	}
	for _, j := range w.Jobs {
		f.Jobs = append(f.Jobs, JobFields{Name: j.Name, Team: j.Team, Pool: j.Pool, Urgency: j.Urgency,
			RunOnce: j.RunOnce, Cores: j.Cores, MemoryMB: int(j.MemoryMB), Accelerators: j.Accelerators,
			RunTime: clock.Millis(j.RunTime), Attempts: j.Attempts, Command: j.Command})
	}
	return f
}

// UnmarshalJSON sets missing fields to their defaults.
func (p *poolWire) UnmarshalJSON(body []byte) error {
	type plain poolWire
	w := plain{Slots: DefaultSlots, Connections: DefaultConnections, RackSize: DefaultRackSize,
		QueueLength: DefaultQueueLength, QueueWait: strictjson.Duration(DefaultQueueWait),
		MaintenancePeriod: strictjson.Duration(DefaultMaintenancePeriod)}
	err := json.Unmarshal(body, &w)
	*p = poolWire(w)
	return err
}

// UnmarshalJSON sets missing fields to their defaults; a missing deadline becomes the default deadline or the
// max-deadline, whichever is shorter.
func (s *serviceWire) UnmarshalJSON(body []byte) error {
	type plain serviceWire
	w := plain{Deadline: -1, MaxDeadline: strictjson.Duration(DefaultMaxDeadline), Urgency: Normal} // -1 for a missing deadline
	err := json.Unmarshal(body, &w)
	if w.Deadline < 0 {
		w.Deadline = min(strictjson.Duration(DefaultDeadline), w.MaxDeadline)
	}
	*s = serviceWire(w)
	return err
}

// UnmarshalJSON sets missing fields to their defaults; the default of attempts is 1 for a run-once job.
func (j *jobWire) UnmarshalJSON(body []byte) error {
	type plain jobWire
	w := plain{Urgency: Normal, RunTime: strictjson.Duration(DefaultRunTime)}
	err := json.Unmarshal(body, &w)
	if w.Attempts == 0 {
		w.Attempts = DefaultAttempts
		if w.RunOnce {
			w.Attempts = 1
		}
	}
	*j = jobWire(w)
	return err
}
