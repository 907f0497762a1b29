package load

import (
	"fmt"
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Action is the operation that a kind of request performs.
type Action string

// Actions.
const (
	// ActionOrder inserts an order under an order id.
	ActionOrder Action = "order"
	// ActionUpdate inserts a new row.
	ActionUpdate Action = "update"
	// ActionRead reads a row that may be as stale as the named kind of read allows.
	ActionRead Action = "read"
	// ActionReadOwnWrite writes a row and reads it through another proxy with the
	// same session name. Only the latency of the read is recorded.
	ActionReadOwnWrite Action = "read_own"
)

// Kind is one kind of request in a deployment's workload.
type Kind struct {
	Name   string
	Rank   cluster.Rank
	Action Action
	// ReadKind is the kind of read, as named in the environment document.
	ReadKind string
	// Share is the fraction of the base rate, from 0 to 1.
	Share float64
}

// Profile is the workload mix of one deployment.
type Profile struct {
	Name string
	// User is a database user of the deployment's example document.
	User   string
	Groups []string
	Kinds  []Kind
	// FloodReadKind is the kind of read that the requests of a flood of reads use.
	FloodReadKind string
}

var profiles = []Profile{
	{
		Name:          "cotopaxi",
		User:          "shop-web",
		Groups:        []string{"orders-1", "orders-2", "orders-3"},
		FloodReadKind: "catalogue",
		Kinds: []Kind{
			{Name: "press_order", Rank: cluster.RankUrgent, Action: ActionOrder, Share: 0.10},
			{Name: "dispatch_entry", Rank: cluster.RankUrgent, Action: ActionUpdate, Share: 0.05},
			{Name: "job_card", Rank: cluster.RankNormal, Action: ActionReadOwnWrite, ReadKind: "job-cards", Share: 0.10},
			{Name: "stock_check", Rank: cluster.RankNormal, Action: ActionRead, ReadKind: "stock", Share: 0.15},
			{Name: "catalogue", Rank: cluster.RankBackground, Action: ActionRead, ReadKind: "catalogue", Share: 0.60},
		},
	},
	{
		Name:          "consorzio",
		User:          "wholesaler-a",
		Groups:        []string{"canteens-1", "canteens-2", "canteens-3"},
		FloodReadKind: "menus",
		Kinds: []Kind{
			{Name: "confirmation", Rank: cluster.RankUrgent, Action: ActionOrder, Share: 0.15},
			{Name: "canteen_order", Rank: cluster.RankNormal, Action: ActionOrder, Share: 0.10},
			{Name: "load_list", Rank: cluster.RankNormal, Action: ActionReadOwnWrite, ReadKind: "loads", Share: 0.15},
			{Name: "menu", Rank: cluster.RankBackground, Action: ActionRead, ReadKind: "menus", Share: 0.60},
		},
	},
}

// FindProfile returns the profile of a deployment.
func FindProfile(name string) (Profile, error) {
	i := slices.IndexFunc(profiles, func(p Profile) bool { return p.Name == name })
	if i < 0 {
		return Profile{}, fmt.Errorf("unknown profile %q", name)
	}
	return profiles[i], nil
}

// Phase is a part of a run with a constant rate.
type Phase struct {
	Name     string        `yaml:"name" json:"name" validate:"required"`
	Duration time.Duration `yaml:"duration" json:"duration" validate:"gt=0"`
	// Rate is the base rate in requests per second, summed over all groups.
	Rate float64 `yaml:"rate" json:"rate" validate:"gte=0"`
	// Kinds restricts the base rate to the named kinds; empty means all.
	Kinds  []string `yaml:"kinds" json:"kinds,omitempty"`
	Floods []Flood  `yaml:"floods" json:"floods,omitempty" validate:"dive"`
	// Pause is a period before the phase in which no requests are sent.
	Pause time.Duration `yaml:"pause" json:"pause,omitempty" validate:"gte=0"`
	// WarmUp is the initial part of Duration; requests sent in it are not
	// measured.
	WarmUp time.Duration `yaml:"warm_up" json:"warm_up,omitempty" validate:"gte=0,ltfield=Duration"`
	// Skew is the fraction of requests that is sent to the first proxy; the rest
	// is spread over all proxies.
	Skew   float64 `yaml:"uneven" json:"uneven,omitempty" validate:"gte=0,lte=1"`
	Faults []Fault `yaml:"faults" json:"faults,omitempty" validate:"dive"`
}

// Measured returns the duration of the phase without its warm-up.
func (p Phase) Measured() time.Duration { return p.Duration - p.WarmUp }

// Flood adds requests of one rank to the base rate.
type Flood struct {
	Rank string `yaml:"rank" json:"rank" validate:"required,oneof=urgent normal background"`
	// Action is read or update.
	Action Action `yaml:"action" json:"action" validate:"required,oneof=read update"`
	// Rate is in requests per second, summed over all groups.
	Rate float64 `yaml:"rate" json:"rate" validate:"gt=0"`
	// ServiceTime overrides the mean service time of the flood's statements.
	ServiceTime time.Duration `yaml:"work" json:"work,omitempty" validate:"gte=0"`
}

func (f Flood) kind(profile Profile) (Kind, error) {
	rank, err := cluster.ParseRank(f.Rank)
	if err != nil {
		return Kind{}, err
	}
	k := Kind{Name: "flood_" + f.Rank, Rank: rank, Action: f.Action}
	if f.Action == ActionRead {
		k.ReadKind = profile.FloodReadKind
	}
	return k, nil
}
