package coldstart_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/coldstart"
)

// The size that control is designed for.
const (
	designGateways  = 360
	designUpstreams = 780
)

func designRoster() *coldstart.Roster {
	r := coldstart.NewRoster("g0", nil, at(0))
	for i := range designGateways - 1 {
		r.Heard(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), at(0))
	}
	return r
}

// BenchmarkTick is what each tick of the control loop costs while upstreams are cold or warm.
func BenchmarkTick(b *testing.B) {
	r := designRoster()
	t := coldstart.TimingFor(digestInterval * designGateways / maxTargets)
	for b.Loop() {
		r.Tick(at(time.Second), t)
		r.View(at(time.Second), t)
	}
}

// BenchmarkParts is what a change of the members costs while all upstreams are cold.
func BenchmarkParts(b *testing.B) {
	v := designRoster().View(at(time.Second), coldstart.TimingFor(digestInterval*designGateways/maxTargets))
	for b.Loop() {
		for u := range uint32(designUpstreams) {
			v.Part(u, bound)
		}
	}
}

// BenchmarkState reports the bytes of the state: the roster, and the book while all upstreams are cold.
func BenchmarkState(b *testing.B) {
	for b.Loop() {
		designRoster()
		book := coldstart.NewBook(at(0))
		for u := range uint32(designUpstreams) {
			book.Entry(u, entry(1, time.Minute), coldStart, at(0))
		}
	}
}
