package load

import (
	"math/rand/v2"
	"slices"
	"time"
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
	// Flood tells that the request belongs to a flood and not to the base rate.
	Flood bool
}

// statements returns the number of statements that the request sends.
func (a Arrival) statements() time.Duration {
	if a.Kind.Action == ActionReadOwn {
		return 2
	}
	return 1
}

// Work is the service time that statements ask for.
type Work struct {
	Mean time.Duration `yaml:"mean" json:"mean"`
	// Exponential draws each statement's time from an exponential
	// distribution; otherwise each takes the mean.
	Exponential bool `yaml:"exponential" json:"exponential"`
}

func (w Work) draw(r *rand.Rand) time.Duration {
	if !w.Exponential {
		return w.Mean
	}
	return time.Duration(r.ExpFloat64() * float64(w.Mean))
}

// Arrivals returns a phase's requests as a Poisson process, ordered by time.
// The same seed gives the same arrivals.
func Arrivals(profile Profile, phase Phase, proxies int, work Work, seed uint64) ([]Arrival, error) {
	base := rand.New(rand.NewPCG(seed, 1))
	arrivals := poisson(base, phase.Duration, phase.Rate, func() (Kind, time.Duration) {
		return pickKind(base, profile.Kinds, phase.Kinds), work.draw(base)
	})
	for i, f := range phase.Floods {
		flood, err := floodArrivals(profile, phase, f, work, rand.New(rand.NewPCG(seed, uint64(4+i))))
		if err != nil {
			return nil, err
		}
		arrivals = merge(arrivals, flood)
	}
	place := rand.New(rand.NewPCG(seed, 3))
	for i := range arrivals {
		arrivals[i].Number = i
		arrivals[i].Group = profile.Groups[place.IntN(len(profile.Groups))]
		arrivals[i].Proxy = place.IntN(proxies)
		if phase.Uneven > 0 && place.Float64() < phase.Uneven {
			arrivals[i].Proxy = 0
		}
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

func floodArrivals(profile Profile, phase Phase, f Flood, work Work, random *rand.Rand) ([]Arrival, error) {
	kind, err := f.kind(profile)
	if err != nil {
		return nil, err
	}
	if f.Work > 0 {
		work.Mean = f.Work
	}
	arrivals := poisson(random, phase.Duration, f.Rate, func() (Kind, time.Duration) {
		return kind, work.draw(random)
	})
	for i := range arrivals {
		arrivals[i].Flood = true
	}
	return arrivals, nil
}

func pickKind(r *rand.Rand, kinds []Kind, only []string) Kind {
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

func matches(k Kind, only []string) bool { return len(only) == 0 || slices.Contains(only, k.Name) }

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
