package hedger

import (
	"math/bits"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// stepsPerOctave is the number of buckets for each doubling of the latency.
	stepsPerOctave = 4
	// octaveCount is the number of doublings that the buckets cover, up to 2^25
	// microseconds; higher latencies share the last bucket.
	octaveCount = 23
	// bucketCount is the number of buckets of a digest.
	bucketCount = stepsPerOctave * octaveCount
	// halvingThreshold is the total count at which all counts are halved.
	halvingThreshold = 512
)

// digest is a histogram of latencies in which old samples lose weight.
type digest struct {
	counts [bucketCount]uint16
	total  int
}

// bucketOf returns the index of the bucket for a latency in microseconds.
func bucketOf(m identifier.Micros) int {
	value := uint64(max(m, stepsPerOctave))
	octave := bits.Len64(value) - 1
	step := (value >> (octave - 2)) & (stepsPerOctave - 1)
	return min(bucketCount-1, (octave-2)*stepsPerOctave+int(step))
}

// upperBound returns the exclusive upper bound of the bucket, in microseconds.
func upperBound(bucket int) identifier.Micros {
	octave, step := bucket/stepsPerOctave, bucket%stepsPerOctave
	return identifier.Micros(stepsPerOctave+step+1) << octave
}

// add counts a latency.
func (d *digest) add(m identifier.Micros) {
	d.counts[bucketOf(m)]++
	d.total++
	if d.total >= halvingThreshold {
		d.halve()
	}
}

// halve halves the weight of all samples.
func (d *digest) halve() {
	d.total = 0
	for i := range d.counts {
		d.counts[i] /= 2
		d.total += int(d.counts[i])
	}
}

// quantile returns the upper bound of the bucket that contains the quantile, or 0 without samples.
func (d *digest) quantile(share identifier.Ratio) identifier.Micros {
	below := 0
	for i, n := range d.counts {
		below += int(n)
		if n > 0 && float64(below) >= float64(share)*float64(d.total) {
			return upperBound(i)
		}
	}
	return 0
}
