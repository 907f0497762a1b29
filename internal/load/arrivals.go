package load

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is one request to send.
type Arrival struct {
	// Offset is the intended send time, relative to the start of the phase.
	Offset      time.Duration
	Kind        Kind
	Group       string
	Proxy       int
	Index       int
	ServiceTime time.Duration
	// Flood is true when the request belongs to a flood rather than to the base rate.
	Flood bool
}

// statements returns the number of statements that the request sends.
func (a Arrival) statements() time.Duration {
	if a.Kind.Action == ActionReadOwnWrite {
		return 2
	}
	return 1
}

// ServiceTime describes the service time that statements request.
type ServiceTime struct {
	Mean time.Duration `yaml:"mean" json:"mean"`
	// Exponential draws each statement's time from an exponential
	// distribution; otherwise every statement takes the mean.
	Exponential bool `yaml:"exponential" json:"exponential"`
}

func (s ServiceTime) draw(r *rand.Rand) time.Duration {
	if !s.Exponential {
		return s.Mean
	}
	return time.Duration(r.ExpFloat64() * float64(s.Mean))
}

// Arrivals generates a phase's requests as a Poisson process, ordered by time.
// The same seed yields the same arrivals.
func Arrivals(profile Profile, phase Phase, proxies int, serviceTime ServiceTime, seed uint64) ([]Arrival, error) {
	base := rand.New(rand.NewPCG(seed, 1))
	arrivals := poisson(base, phase.Duration, phase.Rate, func() (Kind, time.Duration) {
		return pickKind(base, profile.Kinds, phase.Kinds), serviceTime.draw(base)
	})
	for i, f := range phase.Floods {
		flood, err := floodArrivals(profile, phase, f, serviceTime, rand.New(rand.NewPCG(seed, uint64(4+i))))
		if err != nil {
			return nil, err
		}
		arrivals = merge(arrivals, flood)
	}
	placement := rand.New(rand.NewPCG(seed, 3))
	for i := range arrivals {
		arrivals[i].Index = i
		arrivals[i].Group = profile.Groups[placement.IntN(len(profile.Groups))]
		arrivals[i].Proxy = placement.IntN(proxies)
		if phase.Skew > 0 && placement.Float64() < phase.Skew {
			arrivals[i].Proxy = 0
		}
	}
	return arrivals, nil
}

func poisson(r *rand.Rand, duration time.Duration, rate float64, draw func() (Kind, time.Duration)) []Arrival {
	var arrivals []Arrival
	if rate <= 0 {
		return arrivals
	}
	offset := time.Duration(0)
	for {
		offset += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if offset >= duration {
			return arrivals
		}
		k, serviceTime := draw()
		arrivals = append(arrivals, Arrival{Offset: offset, Kind: k, ServiceTime: serviceTime})
	}
}

func floodArrivals(profile Profile, phase Phase, f Flood, serviceTime ServiceTime, random *rand.Rand) ([]Arrival, error) {
	kind, err := f.kind(profile)
	if err != nil {
		return nil, err
	}
	if f.ServiceTime > 0 {
		serviceTime.Mean = f.ServiceTime
	}
	arrivals := poisson(random, phase.Duration, f.Rate, func() (Kind, time.Duration) {
		return kind, serviceTime.draw(random)
	})
	for i := range arrivals {
		arrivals[i].Flood = true
	}
	return arrivals, nil
}

func pickKind(r *rand.Rand, kinds []Kind, names []string) Kind {
	total := 0.0
	for _, k := range kinds {
		if selected(k, names) {
			total += k.Share
		}
	}
	remaining := r.Float64() * total
	var picked Kind
	for _, k := range kinds {
		if !selected(k, names) {
			continue
		}
		picked = k
		if remaining -= k.Share; remaining < 0 {
			break
		}
	}
	return picked
}

func selected(k Kind, names []string) bool { return len(names) == 0 || slices.Contains(names, k.Name) }

func merge(a, b []Arrival) []Arrival {
	out := make([]Arrival, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if a[0].Offset <= b[0].Offset {
			out, a = append(out, a[0]), a[1:]
		} else {
			out, b = append(out, b[0]), b[1:]
		}
	}
	return append(append(out, a...), b...)
}
