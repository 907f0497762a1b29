package member

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/provider/providertest"
)

func TestLeaseRenewal(t *testing.T) {
	leaseOf := func(table *providertest.Table, incarnation uint64) *lease {
		return &lease{table: table, self: proxyNamed("p", incarnation)}
	}
	tests := []struct {
		name string
		do   func(t *testing.T, table *providertest.Table) error
		code errcode.Code
	}{
		{"consecutive renewals", func(t *testing.T, table *providertest.Table) error {
			l := leaseOf(table, 1)
			_ = l.renew(t.Context(), StateAlive)
			return l.renew(t.Context(), StateAlive)
		}, errcode.Code{}},
		{"after a lost response", func(t *testing.T, table *providertest.Table) error {
			l := leaseOf(table, 1)
			table.LoseResponses(1)
			_ = l.renew(t.Context(), StateAlive)
			return l.renew(t.Context(), StateAlive)
		}, errcode.Code{}},
		{"after an earlier incarnation", func(t *testing.T, table *providertest.Table) error {
			_ = leaseOf(table, 1).renew(t.Context(), StateAlive)
			return leaseOf(table, 2).renew(t.Context(), StateAlive)
		}, errcode.Code{}},
		{"after a later incarnation", func(t *testing.T, table *providertest.Table) error {
			l := leaseOf(table, 1)
			_ = l.renew(t.Context(), StateAlive)
			_ = leaseOf(table, 2).renew(t.Context(), StateAlive)
			return l.renew(t.Context(), StateAlive)
		}, errcode.Superseded},
		{"while the table service is down", func(t *testing.T, table *providertest.Table) error {
			table.SetDown(true)
			return leaseOf(table, 1).renew(t.Context(), StateAlive)
		}, errcode.Unknown},
		{"after the row was removed", func(t *testing.T, table *providertest.Table) error {
			l := leaseOf(table, 1)
			_ = l.renew(t.Context(), StateAlive)
			other := leaseOf(table, 1)
			_ = other.reloadVersion(t.Context())
			_ = other.release(t.Context())
			return l.renew(t.Context(), StateAlive)
		}, errcode.Code{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := tt.do(t, providertest.NewTable())
			if tt.code.Name == "" && err != nil || tt.code.Name != "" && !errcode.Is(err, tt.code) {
				t.Errorf("error %v, want code %q", err, tt.code.Name)
			}
		})
	}
}

func TestListDropsExpiredLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := providertest.NewTable()
		renewed := &lease{table: table, self: proxyNamed("kept", 1)}
		expired := &lease{table: table, self: proxyNamed("gone", 1)}
		_ = expired.renew(t.Context(), StateAlive)
		rows := &leaseReader{table: table, observed: map[string]observedLease{}}
		for _, want := range []int{2, 2, 2, 1} {
			_ = renewed.renew(t.Context(), StateAlive)
			values, err := rows.list(t.Context(), leaseExpiryIntervals*leaseInterval)
			if err != nil || len(values) != want {
				t.Errorf("%d leases, error %v, want %d", len(values), err, want)
			}
			time.Sleep(leaseInterval)
		}
	})
}

// TestLeaseHoldsTheWeight guards against a row without the weight, and against a row that
// differs from that of earlier versions although the weight is unknown.
func TestLeaseHoldsTheWeight(t *testing.T) {
	table := providertest.NewTable()
	weighted := proxyNamed("b", 1)
	weighted.Weight = 64
	for _, m := range []Member{proxyNamed("a", 1), weighted} {
		if err := (&lease{table: table, self: m}).renew(t.Context(), StateAlive); err != nil {
			t.Fatal(err)
		}
	}
	row, err := table.Get(t.Context(), "member/proxy/a")
	if err != nil || strings.Contains(string(row.Value), "Weight") {
		t.Errorf("%s, %v", row.Value, err)
	}
	leases, err := (&leaseReader{table: table}).list(t.Context(), time.Minute)
	if err != nil || len(leases) != 2 || leases[0].Member.Weight+leases[1].Member.Weight != 64 {
		t.Errorf("%+v, %v", leases, err)
	}
}
