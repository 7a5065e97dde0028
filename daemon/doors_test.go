package daemon

import (
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/diag"
)

// Guards against doors that take all memory or descriptors of an instance, and against settings that have no effect.
func TestDoorDefaults(t *testing.T) {
	for _, test := range []struct {
		settings  Settings
		openFiles int
		places    int
		bodies    int64
	}{
		{Settings{}, 0, defaultConnections, defaultBodyMemory},
		{Settings{MemoryMB: 284}, 0, 757, 284 << 20 / 8},
		{Settings{MemoryMB: 184, MaxFiles: 4100}, 0, 490, 23 << 20},
		{Settings{MemoryMB: 8000, MaxFiles: 4100}, 1000, 2877, 1000 << 20},
		{Settings{MemoryMB: 8000}, 1000, 552, 1000 << 20},
		{Settings{MemoryMB: 8000, MaxFiles: 100}, 0, minimumPlaces, 1000 << 20},
		{Settings{MemoryMB: 284, Doors: DoorSettings{Connections: 7, BodyMemoryMB: 3}}, 0, 7, 3 << 20},
	} {
		if got, want := test.settings.places(test.openFiles), test.places; got != want {
			t.Errorf("%d MB, %d descriptors: got %d places, want %d", test.settings.MemoryMB, test.settings.MaxFiles, got, want)
		}
		if got, want := test.settings.bodyMemory(), test.bodies; got != want {
			t.Errorf("%d MB: got %d bytes for bodies, want %d", test.settings.MemoryMB, got, want)
		}
	}
}

// Guards against limits that cut clients who keep to those of the configuration in force, and against a new version that does not apply.
func TestDoorLimitsOfTheConfiguration(t *testing.T) {
	d := &Daemon{}
	d.configuration.Store(&batch.Configuration{Version: 1})
	if got := d.doorLimits(); got.HeaderBytes != defaultHeaderBytes+headerMargin || got.BusyIdleTimeout != defaultIdleTimeout {
		t.Errorf("without limits got %+v, want the defaults", got)
	}
	for version, given := range []batch.Limits{
		{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeout: 3 * clock.Second, IdleTimeout: 15 * clock.Second},
		{HeaderBytes: 65536, HeaderTimeout: 30 * clock.Second, IdleTimeout: 300 * clock.Second},
	} {
		d.configuration.Store(&batch.Configuration{Version: int64(version) + 2, Limits: given})
		got := d.doorLimits()
		if int64(got.HeaderBytes) < given.HeaderBytes || got.BusyHeaderTimeout != given.HeaderTimeout || got.BusyIdleTimeout != given.IdleTimeout {
			t.Errorf("limits %+v got %+v", given, got)
		}
		if got.HeaderTimeout < max(given.HeaderTimeout, defaultHeaderTimeout) || got.IdleTimeout < max(given.IdleTimeout, defaultIdleTimeout) {
			t.Errorf("limits %+v got %+v while there are places, want at least the defaults", given, got)
		}
	}
}

// Guards against settings of doors that are out of range and accepted.
func TestDoorSettingsAreChecked(t *testing.T) {
	var faults diag.List
	s := DoorSettings{Connections: -1, MinimumRate: -1, CancelsPerS: -0.5}
	s.check("settings.json", &faults)
	if got, want := faults.Len(), 3; got != want {
		t.Errorf("got %d faults, want %d: %v", got, want, faults.Err())
	}
}
