package strictjson

import (
	"fmt"
	"strconv"
	"strings"

	"magnoliaferry/clock"
)

type unit struct {
	name   string
	factor int64
}

// The units from large to small. The canonical form of a value uses the largest unit that divides it.
var (
	durationUnits = []unit{{"d", int64(clock.Day)}, {"h", int64(clock.Hour)}, {"m", int64(clock.Minute)},
		{"s", int64(clock.Second)}, {"ms", 1}}
	sizeUnits = []unit{{"TB", 1024 * 1024}, {"GB", 1024}, {"MB", 1}}
)

// Duration is a duration in milliseconds that is written with a unit, for example "500ms" or "28d".
type Duration clock.Millis

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return formatUnit(int64(d), durationUnits), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	n, err := parseUnit(string(text), durationUnits)
	*d = Duration(n)
	return err
}

// Size is an amount of memory in megabytes (1024 MB are 1 GB) that is written with a unit, for example "32GB".
type Size int

// MarshalText implements encoding.TextMarshaler.
func (s Size) MarshalText() ([]byte, error) { return formatUnit(int64(s), sizeUnits), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Size) UnmarshalText(text []byte) error {
	n, err := parseUnit(string(text), sizeUnits)
	*s = Size(n)
	return err
}

// String returns the duration with its unit, for example "500ms".
func (d Duration) String() string { return string(formatUnit(int64(d), durationUnits)) }

// String returns the amount with its unit, for example "32GB".
func (s Size) String() string { return string(formatUnit(int64(s), sizeUnits)) }

func formatUnit(n int64, units []unit) []byte {
	for _, u := range units {
		if n != 0 && n%u.factor == 0 {
			return []byte(strconv.FormatInt(n/u.factor, 10) + u.name)
		}
	}
	return []byte("0" + units[len(units)-1].name)
}

func parseUnit(text string, units []unit) (int64, error) {
	digits := strings.TrimRight(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
	n, err := strconv.ParseInt(digits, 10, 32)
	if err != nil {
		return 0, fmt.Errorf("%q is not a whole number with a unit", text)
	}
	for _, u := range units {
		if u.name == text[len(digits):] {
			return n * u.factor, nil
		}
	}
	return 0, fmt.Errorf("%q has an unknown unit", text)
}
