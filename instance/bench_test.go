package instance_test

import (
	"fmt"
	"testing"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/instance"
)

// largeList returns a list of 330 entries and 1,200 upstreams of ten models.
func largeList() rail.ListRead {
	var all []rail.Instance
	for i := range 330 {
		all = append(all, entry(rail.InstanceID(fmt.Sprint("entry", i)), rail.Incarnation(fmt.Sprint(i))))
	}
	for i := range 1200 {
		u := engine(rail.InstanceID(fmt.Sprint("m", i)), rail.Incarnation(fmt.Sprint(i)))
		all = append(all, u.WithServing(fmt.Sprint("model", i%10), "v1"))
	}
	return rail.NewListRead(all)
}

// BenchmarkLarge measures the events and calls of a membership with the largest list.
func BenchmarkLarge(b *testing.B) {
	list := largeList()
	r := instance.New(me)
	reduce(r, 0, list)
	b.Run("upstreams", func(b *testing.B) {
		for range b.N {
			r.Upstreams("model3", "v1")
		}
	})
	b.Run("leaving", func(b *testing.B) {
		for i := range b.N {
			id := rail.InstanceID(fmt.Sprint("m", i%1200))
			r.Reduce(rail.NewInput(instance.NewUnreachable(id), start, 1))
			r.Upstreams("model3", "v1")
			r.Reduce(rail.NewInput(instance.NewReachable(id), start, 1))
		}
	})
	b.Run("list", func(b *testing.B) {
		for i := range b.N {
			r.Reduce(rail.NewInput(list, start.Add(time.Duration(i)*time.Second), 1))
		}
	})
}
