package estimate

import "math"

const (
	// histogramBins is the number of bins, binWidth the factor between their bounds, and minRatio the lower bound of the first one:
	// the ratios from 0.1 to 34 are told apart.
	histogramBins = 32
	binWidth      = 1.2
	minRatio      = 0.1
)

// Histogram counts ratios of observed times to expected ones. Histograms of several gateways are merged by addition.
type Histogram struct {
	counts [histogramBins]uint32
	total  uint32
}

// HistogramFrom returns the histogram whose bins from the first on have the counts; bins that do not exist are ignored.
func HistogramFrom(first int, counts []uint32) Histogram {
	var h Histogram
	for i, n := range counts {
		if bin := first + i; bin >= 0 && bin < histogramBins {
			n = min(n, maxBinCount)
			h.counts[bin] += n
			h.total += n
		}
	}
	return h
}

// maxBinCount bounds the counts of a message, so that sums do not overflow.
const maxBinCount = 1 << 20

// Add counts a ratio with a weight.
func (h *Histogram) Add(ratio float64, weight int) {
	bin := 0
	if ratio > minRatio {
		bin = min(histogramBins-1, int(math.Log(ratio/minRatio)/math.Log(binWidth)))
	}
	n := uint32(min(max(weight, 0), maxBinCount)) //nolint:gosec // It is bounded.
	h.counts[bin] += n
	h.total += n
}

// Merge adds the counts of another histogram.
func (h *Histogram) Merge(o Histogram) {
	if o.total == 0 {
		return
	}
	for i, n := range o.counts {
		h.counts[i] += n
	}
	h.total += o.total
}

// Count returns the sum of the weights.
func (h Histogram) Count() int { return int(h.total) }

// Bins returns the index of the first bin with a count, and the counts from it to the last one.
func (h Histogram) Bins() (first int, counts []uint32) {
	last := histogramBins - 1
	for first < histogramBins && h.counts[first] == 0 {
		first++
	}
	for last > first && h.counts[last] == 0 {
		last--
	}
	if first == histogramBins {
		return 0, nil
	}
	return first, append(counts, h.counts[first:last+1]...)
}

// quantile returns the ratio below which the share of the counts lies, zero for an empty histogram.
func (h Histogram) quantile(share float64) float64 {
	rank := share * float64(h.total)
	for i, n := range h.counts {
		if n > 0 && rank <= float64(n) {
			return minRatio * math.Pow(binWidth, float64(i)+rank/float64(n))
		}
		rank -= float64(n)
	}
	return 0
}
