package load

import (
	"math/rand/v2"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Arrival is one request to send.
type Arrival struct {
	// At is the intended time from the start of the phase.
	At     time.Duration
	Kind   Kind
	Group  string
	Proxy  int
	Number int
	Work   time.Duration
}

// Arrivals returns a phase's requests as a Poisson process, ordered by time.
// The same seed gives the same arrivals.
func Arrivals(profile Profile, phase Phase, proxies int, work time.Duration, seed uint64) ([]Arrival, error) {
	base := rand.New(rand.NewPCG(seed, 1))
	arrivals := poisson(base, phase.Duration, phase.Rate, func() (Kind, time.Duration) {
		return pickKind(base, profile.Kinds, phase.Only), work
	})
	if phase.FloodRate > 0 {
		rank, err := cluster.ParseRank(phase.FloodRank)
		if err != nil {
			return nil, err
		}
		floodWork := work
		if phase.FloodWork > 0 {
			floodWork = phase.FloodWork
		}
		flood := poisson(rand.New(rand.NewPCG(seed, 2)), phase.Duration, phase.FloodRate, func() (Kind, time.Duration) {
			return floodKind(profile, rank), floodWork
		})
		arrivals = merge(arrivals, flood)
	}
	place := rand.New(rand.NewPCG(seed, 3))
	for i := range arrivals {
		arrivals[i].Number = i
		arrivals[i].Group = profile.Groups[place.IntN(len(profile.Groups))]
		arrivals[i].Proxy = place.IntN(proxies)
	}
	return arrivals, nil
}

func poisson(r *rand.Rand, length time.Duration, rate float64, kind func() (Kind, time.Duration)) []Arrival {
	var arrivals []Arrival
	if rate <= 0 {
		return arrivals
	}
	at := time.Duration(0)
	for {
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return arrivals
		}
		k, work := kind()
		arrivals = append(arrivals, Arrival{At: at, Kind: k, Work: work})
	}
}

func pickKind(r *rand.Rand, kinds []Kind, only string) Kind {
	total := 0.0
	for _, k := range kinds {
		if matches(k, only) {
			total += k.Share
		}
	}
	at := r.Float64() * total
	var last Kind
	for _, k := range kinds {
		if !matches(k, only) {
			continue
		}
		last = k
		if at -= k.Share; at < 0 {
			break
		}
	}
	return last
}

func matches(k Kind, only string) bool { return only == "" || k.Rank.String() == only }

func merge(a, b []Arrival) []Arrival {
	out := make([]Arrival, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if a[0].At <= b[0].At {
			out, a = append(out, a[0]), a[1:]
		} else {
			out, b = append(out, b[0]), b[1:]
		}
	}
	return append(append(out, a...), b...)
}
