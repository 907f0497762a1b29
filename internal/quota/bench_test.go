package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkDealer measures the answer to a report of four organisations by a dealer with
// 1,900 homes that have credits of 20 organisations each, and the memory of the dealer.
func BenchmarkDealer(b *testing.B) {
	const homes, each = 1900, 20
	limits := map[string]Limit{}
	for i := range 80 {
		limits[fmt.Sprint("o", i)] = Limit{Rate: 500, Burst: 100}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d := NewDealer(testBounds, 1, StartFirst, 0, nil)
	d.SetLimits(limits)
	for home := range homes {
		r := Report{Sequence: 1, Incarnation: 1}
		for i := range each {
			r.Uses = append(r.Uses, Use{Organisation: fmt.Sprint("o", (home+i)%80), Wanted: 3})
		}
		d.Handle(fmt.Sprint("p", home), r, time.Second)
	}
	d.Record(d.Processes(time.Second))
	runtime.GC()
	runtime.ReadMemStats(&after)
	n := uint64(1)
	for b.Loop() {
		n++
		home := int(n) % homes
		r := Report{Sequence: n, Incarnation: 1, Dealer: 1}
		for i := range 4 {
			r.Uses = append(r.Uses, Use{Organisation: fmt.Sprint("o", (home+i)%80), Used: n, Held: 1, Wanted: 3})
		}
		d.Handle(fmt.Sprint("p", home), r, time.Second+time.Duration(n)*50*time.Microsecond)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
}
