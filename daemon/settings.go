package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"

	"magnoliaferry/clock"
	"magnoliaferry/diag"
)

// Diagnostics of settings.
const (
	DiagUnreadable diag.Code = 1060
	DiagMissing    diag.Code = 1061
	DiagAddress    diag.Code = 1062
	DiagRange      diag.Code = 1063
)

// Codes returns the names of the diagnostics of settings by number.
func Codes() map[diag.Code]string {
	return map[diag.Code]string{
		DiagUnreadable: "settings-unreadable",
		DiagMissing:    "setting-missing",
		DiagAddress:    "setting-address",
		DiagRange:      "setting-range",
	}
}

// Settings are the settings of one instance, which the platform generates from deploy/settings.json. Times are in milliseconds
// unless the name says seconds. Unknown fields are ignored, so that the platform can add some.
type Settings struct {
	Node   string `json:"node"` // name of the instance
	Zone   string `json:"zone"`
	Listen struct {
		Callers string `json:"callers"` // addresses with a port
		Ready   string `json:"ready"`
	} `json:"listen"`
	Store    string `json:"store"`    // addresses, with a port, of the platform's services
	Machines string `json:"machines"` // empty: this instance must not send orders for machines
	Advisor  string `json:"advisor"`  // empty: no queue needs the advisor
	Metrics  string `json:"metrics"`  // address for expvar; empty: none
	MemoryMB int    `json:"memory-mb"`
	// The processor of the instance: its share of a core, and the speed of that core relative to a standard one.
	CPUShare float64 `json:"cpu-share"`
	CPUSpeed float64 `json:"cpu-speed"`

	LeaseLimit   clock.Millis `json:"lease-limit"`   // longest lease of a worker
	MachineLease clock.Millis `json:"machine-lease"` // from the last order of one owner of the machines to the first of the next, at least
	// MachineOrderRate is the number of orders for machines that the platform accepts in a second from all instances; 0 if not known.
	MachineOrderRate float64 `json:"machine-orders-per-s"`
	// RevocationLimit is the time after which no instance may accept a withdrawn key, whether or not it reaches the store; 0: there is no
	// such limit, and a withdrawn key ends with the configuration that an instance knows.
	RevocationLimit clock.Millis `json:"revocation-limit"`
	CapOverage      float64      `json:"cap-overage"`   // part of a customer's cap by which the customer may exceed it
	RemoteFactor    float64      `json:"remote-factor"` // factor for the run time of a task away from its data or its group; 0 if not known
	MaxFiles        int          `json:"max-files"`     // descriptors that the process may have open; 0 if not known

	Doors DoorSettings `json:"doors"` // limits for clients

	StopGrace      Seconds `json:"stop-grace-s"`      // from SIGTERM to the end of the process
	StateRetention Seconds `json:"state-retention-s"` // for which callers can read the state of an ended job
}

// Cores returns the processor of the instance in standard cores; 1 if the settings do not have both the share and the speed.
func (s Settings) Cores() float64 {
	if s.CPUShare <= 0 || s.CPUSpeed <= 0 {
		return 1
	}
	return s.CPUShare * s.CPUSpeed
}

// Seconds is a time in seconds; it may have a fraction.
type Seconds float64

// Millis returns the time in milliseconds.
func (s Seconds) Millis() clock.Millis { return clock.Millis(s * Seconds(clock.Second)) }

// Reread reads the settings file again, and logs whether the settings differ from those in force and the faults found. It changes
// nothing: new settings apply from the next start.
func (d *Daemon) Reread(path string) {
	settings, faults := ReadSettings(path)
	detail := ""
	if err := faults.Err(); err != nil {
		detail = err.Error()
	}
	eventReread.Log(context.Background(), d.Logger, slog.String("file", path), slog.Bool("changed", settings != d.Settings),
		slog.String("faults", detail))
}

// ReadSettings reads and checks a settings file. Every fault names its field, unless the file cannot be read or parsed.
func ReadSettings(path string) (Settings, diag.List) {
	var faults diag.List
	var s Settings
	content, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(content, &s)
	}
	if err != nil {
		faults.Add(diag.New(DiagUnreadable, path, 0, "", err.Error()))
		return s, faults
	}
	for field, value := range map[string]string{"/node": s.Node, "/zone": s.Zone, "/listen/callers": s.Listen.Callers,
		"/listen/ready": s.Listen.Ready, "/store": s.Store} {
		if value == "" {
			faults.Add(diag.New(DiagMissing, path, 0, field, "is missing or empty"))
		}
	}
	for field, value := range map[string]string{"/listen/callers": s.Listen.Callers, "/listen/ready": s.Listen.Ready,
		"/store": s.Store, "/machines": s.Machines, "/advisor": s.Advisor, "/metrics": s.Metrics} {
		if value == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(value); err != nil {
			faults.Add(diag.New(DiagAddress, path, 0, field, fmt.Sprintf("%q is not an address and a port: %v", value, err)))
		}
	}
	s.Doors.check(path, &faults)
	if s.MachineOrderRate < 0 {
		faults.Add(diag.New(DiagRange, path, 0, "/machine-orders-per-s", fmt.Sprintf("%g is not a rate of at least 0", s.MachineOrderRate)))
	}
	for field, value := range map[string]float64{"/revocation-limit": float64(s.RevocationLimit), "/cap-overage": s.CapOverage,
		"/remote-factor": s.RemoteFactor, "/max-files": float64(s.MaxFiles)} {
		if value < 0 {
			faults.Add(diag.New(DiagRange, path, 0, field, fmt.Sprintf("%g is below 0", value)))
		}
	}
	for field, value := range map[string]clock.Millis{"/lease-limit": s.LeaseLimit,
		"/state-retention-s": s.StateRetention.Millis(), "/stop-grace-s": s.StopGrace.Millis()} {
		if value <= 0 {
			faults.Add(diag.New(DiagRange, path, 0, field, fmt.Sprintf("%d ms is not a time above 0", value)))
		}
	}
	return s, faults
}
