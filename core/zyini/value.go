package zyini

import (
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"zinniayoke"
)

// ValueType parses and validates one type of value. Parse returns false for invalid
// text; Accepted describes the valid values in error messages.
type ValueType[T any] struct {
	Parse    func(text string) (T, bool)
	Accepted string
}

// Get returns the value of key, or fallback if the section lacks the key. An
// invalid value is reported as a problem, and fallback returned.
func Get[T any](s *Section, key string, valueType ValueType[T], fallback T) T {
	s.read[key] = true
	if !s.Has(key) {
		return fallback
	}
	text := s.ini.Key(key).String()
	value, ok := valueType.Parse(text)
	if !ok {
		s.RejectKey(key, quote(text), valueType.Accepted)
		return fallback
	}
	return value
}

// Require returns the value of key. A missing or invalid value is reported as a
// problem, and the zero value returned.
func Require[T any](s *Section, key string, valueType ValueType[T]) T {
	var zero T
	if !s.Has(key) {
		s.read[key] = true
		s.RejectKey(key, "no value", valueType.Accepted)
		return zero
	}
	return Get(s, key, valueType, zero)
}

// Text accepts any non-empty text.
func Text[T ~string]() ValueType[T] {
	return ValueType[T]{
		Parse:    func(text string) (T, bool) { return T(text), text != "" },
		Accepted: "text",
	}
}

// Name accepts the names that IsName accepts.
func Name[T ~string]() ValueType[T] {
	return ValueType[T]{
		Parse:    func(text string) (T, bool) { return T(text), IsName(text) },
		Accepted: "1 to 64 letters, digits, dots, dashes and underscores",
	}
}

// IsName reports whether text consists of 1 to 64 ASCII letters, digits, dots,
// dashes and underscores.
func IsName(text string) bool {
	const maxLength = 64
	if text == "" || len(text) > maxLength {
		return false
	}
	for _, r := range text {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && !strings.ContainsRune("._-", r) {
			return false
		}
	}
	return true
}

// Integer accepts integers from low to high.
func Integer[T ~int | ~uint64 | ~int64](low, high T) ValueType[T] {
	return ValueType[T]{
		Parse: func(text string) (T, bool) {
			n, err := strconv.ParseInt(text, 10, 64)
			return T(n), err == nil && n >= int64(low) && n <= int64(high)
		},
		Accepted: fmt.Sprintf("a whole number from %d to %d", low, high),
	}
}

// Bool accepts "true" and "false".
func Bool() ValueType[bool] {
	return ValueType[bool]{
		Parse:    func(text string) (bool, bool) { return text == "true", text == "true" || text == "false" },
		Accepted: "true or false",
	}
}

// Duration accepts durations with a unit from low to high, such as 250ms.
func Duration(low, high time.Duration) ValueType[time.Duration] {
	return ValueType[time.Duration]{
		Parse: func(text string) (time.Duration, bool) {
			d, err := time.ParseDuration(text)
			return d, err == nil && d >= low && d <= high && text != "0"
		},
		Accepted: fmt.Sprintf("a duration with its unit from %s to %s, such as 250ms", low, high),
	}
}

// Size accepts byte sizes with a unit (B, KiB or MiB) from low to high.
func Size(low, high zinniayoke.Bytes) ValueType[zinniayoke.Bytes] {
	units := []unit{{"KiB", float64(zinniayoke.KiB)}, {"MiB", float64(zinniayoke.MiB)}, {"B", 1}}
	return ValueType[zinniayoke.Bytes]{
		Parse: func(text string) (zinniayoke.Bytes, bool) {
			n, ok := parseUnit(text, units)
			size := zinniayoke.Bytes(n)
			return size, ok && size >= low && size <= high
		},
		Accepted: fmt.Sprintf("a size with its unit from %dB to %dB, such as 64KiB", low, high),
	}
}

// BitRate accepts bits per second with a unit (kbit, Mbit or Gbit) and returns
// bytes per second.
func BitRate() ValueType[zinniayoke.Bytes] {
	const bitsPerByte = 8
	units := []unit{{"kbit", 1e3}, {"Mbit", 1e6}, {"Gbit", 1e9}}
	return ValueType[zinniayoke.Bytes]{
		Parse: func(text string) (zinniayoke.Bytes, bool) {
			n, ok := parseUnit(text, units)
			return zinniayoke.Bytes(n / bitsPerByte), ok && n > 0
		},
		Accepted: "bits per second above 0 with their unit, such as 30Mbit",
	}
}

// CallRate accepts calls per second, such as 50/s.
func CallRate() ValueType[float64] {
	return ValueType[float64]{
		Parse: func(text string) (float64, bool) {
			n, ok := parseUnit(text, []unit{{"/s", 1}})
			return n, ok && n > 0
		},
		Accepted: "calls per second above 0, such as 50/s",
	}
}

// RateLimit accepts calls per second, such as 50/s, and 0/s for no limit.
func RateLimit() ValueType[float64] {
	return ValueType[float64]{
		Parse:    func(text string) (float64, bool) { return parseUnit(text, []unit{{"/s", 1}}) },
		Accepted: "calls per second of 0 or more, such as 50/s; 0/s is no limit",
	}
}

// Percent accepts 0% to 100% and returns a fraction from 0 to 1.
func Percent() ValueType[float64] {
	const hundred = 100
	return ValueType[float64]{
		Parse: func(text string) (float64, bool) {
			n, ok := parseUnit(text, []unit{{"%", 1}})
			return n / hundred, ok && n <= hundred
		},
		Accepted: "a percentage from 0% to 100%",
	}
}

// Float accepts decimal numbers without a unit from 0 to high, such as 0.2.
func Float(high float64) ValueType[float64] {
	return ValueType[float64]{
		Parse: func(text string) (float64, bool) {
			n, ok := parseUnit(text, []unit{{"", 1}})
			return n, ok && n <= high
		},
		Accepted: fmt.Sprintf("a number from 0 to %g", high),
	}
}

// OneOf accepts the listed words.
func OneOf(words ...string) ValueType[string] {
	return ValueType[string]{
		Parse:    func(text string) (string, bool) { return text, slices.Contains(words, text) },
		Accepted: "one of " + strings.Join(words, ", "),
	}
}

// HexBytes accepts exactly length bytes in hexadecimal.
func HexBytes(length int) ValueType[[]byte] {
	return ValueType[[]byte]{
		Parse: func(text string) ([]byte, bool) {
			b, err := hex.DecodeString(text)
			return b, err == nil && len(b) == length
		},
		Accepted: fmt.Sprintf("%d bytes as hexadecimal digits", length),
	}
}

// List accepts comma-separated values.
func List[T any](valueType ValueType[T]) ValueType[[]T] {
	return ValueType[[]T]{
		Parse: func(text string) ([]T, bool) {
			var list []T
			for _, part := range strings.Split(text, ",") {
				value, ok := valueType.Parse(strings.TrimSpace(part))
				if !ok {
					return nil, false
				}
				list = append(list, value)
			}
			return list, true
		},
		Accepted: "a comma-separated list of: " + valueType.Accepted,
	}
}

// unit is a suffix and the factor that converts to the base unit.
type unit struct {
	suffix string
	factor float64
}

// parseUnit parses a non-negative number that ends with one of the units.
func parseUnit(text string, units []unit) (float64, bool) {
	for _, u := range units {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(digits, 64)
		if err != nil || math.IsNaN(n) || n < 0 || n > math.MaxInt32 {
			return 0, false
		}
		return n * u.factor, true
	}
	return 0, false
}
