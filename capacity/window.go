package capacity

import "time"

// window holds the latest values of a quantity.
type window struct{ values []timedValue }

type timedValue struct {
	value float64
	at    time.Time
}

func (w *window) add(value float64, now time.Time) {
	w.values = append(w.values, timedValue{value, now})
}

// trim removes the values before the time.
func (w *window) trim(from time.Time) {
	n := 0
	for n < len(w.values) && w.values[n].at.Before(from) {
		n++
	}
	w.values = w.values[n:]
}

// min returns the least value since the time, or the given one if that is less.
func (w *window) min(from time.Time, least float64) float64 {
	for _, v := range w.values {
		if !v.at.Before(from) {
			least = min(least, v.value)
		}
	}
	return least
}

// max returns the greatest value, zero if there is none.
func (w *window) max() float64 {
	greatest := 0.0
	for _, v := range w.values {
		greatest = max(greatest, v.value)
	}
	return greatest
}
