package environment

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/strictyaml"
)

const (
	// ReservedConnections is the number of connections of each backend server that
	// are reserved for control connections and probes.
	ReservedConnections = 2
	// minScramIterations is the minimum iteration count of a SCRAM verifier.
	minScramIterations = 4096
	// floorTolerance absorbs rounding in the sum of the rank floors.
	floorTolerance = 1e-9
)

// checker validates rules that involve several fields.
type checker struct {
	source *strictyaml.Source
	faults Faults
}

func (c *checker) fault(path, format string, args ...any) {
	c.faults = append(c.faults, c.source.Fault(path, format, args...))
}

func (c *checker) check(d *Document) {
	c.checkNames(d)
	c.checkCustomers(d)
	known := map[string]bool{}
	for _, customer := range d.Customers {
		known[customer.Name] = true
	}
	for i, g := range d.Groups {
		c.checkGroupCustomers(fmt.Sprintf("groups[%d].customers", i), known, g)
		c.checkGroup(fmt.Sprintf("groups[%d]", i), d, g)
	}
	c.checkRanks(d)
	for i, r := range d.Reads {
		c.checkRead(fmt.Sprintf("reads[%d]", i), r)
	}
	for i, w := range d.ChangeWindows {
		if w.From >= w.To && w.From != "" && w.To != "" {
			c.fault(fmt.Sprintf("change_windows[%d].to", i), "must be later than from on the same day")
		}
	}
}

// uniqueNames reports names of one kind that occur more than once. firstPath holds
// the path at which each name first occurs.
type uniqueNames struct {
	c         *checker
	kind      string
	firstPath map[string]string
}

func (c *checker) uniqueNames(kind string) uniqueNames {
	return uniqueNames{c: c, kind: kind, firstPath: map[string]string{}}
}

func (u uniqueNames) add(path, name string) {
	if name == "" {
		return
	}
	if first, ok := u.firstPath[name]; ok {
		u.c.fault(path, "%s %q is not unique; it is also %s", u.kind, name, first)
		return
	}
	u.firstPath[name] = path
}

func (c *checker) checkNames(d *Document) {
	groups, servers, addresses := c.uniqueNames("group"), c.uniqueNames("server"), c.uniqueNames("address")
	for i, g := range d.Groups {
		groups.add(fmt.Sprintf("groups[%d].name", i), string(g.Name))
		for j, s := range g.Servers {
			servers.add(fmt.Sprintf("groups[%d].servers[%d].id", i, j), string(s.ID))
			addresses.add(fmt.Sprintf("groups[%d].servers[%d].address", i, j), s.Address)
		}
	}
	reads := c.uniqueNames("read")
	for i, r := range d.Reads {
		reads.add(fmt.Sprintf("reads[%d].name", i), r.Name)
	}
	windows := c.uniqueNames("change window")
	for i, w := range d.ChangeWindows {
		windows.add(fmt.Sprintf("change_windows[%d].name", i), w.Name)
	}
}

func (c *checker) checkCustomers(d *Document) {
	customers, users := c.uniqueNames("customer"), c.uniqueNames("user")
	for i, customer := range d.Customers {
		customers.add(fmt.Sprintf("customers[%d].name", i), customer.Name)
		for j, user := range customer.Users {
			path := fmt.Sprintf("customers[%d].users[%d]", i, j)
			users.add(path+".name", user.Name)
			if err := checkVerifier(user.Verifier); err != nil {
				c.fault(path+".verifier", "%s", err)
			}
		}
	}
}

// checkVerifier accepts SCRAM-SHA-256$iterations:salt$stored:server. Its errors
// never contain the verifier, which is a secret.
func checkVerifier(verifier string) error {
	parts := strings.Split(verifier, "$")
	if verifier == "" || parts[0] != "SCRAM-SHA-256" {
		return nil // the struct tag checks the prefix
	}
	if len(parts) != 3 {
		return fmt.Errorf("must have the form SCRAM-SHA-256$iterations:salt$stored:server")
	}
	iterations, salt, _ := strings.Cut(parts[1], ":")
	n, err := strconv.Atoi(iterations)
	if err != nil || n < minScramIterations {
		return fmt.Errorf("must have at least %d iterations", minScramIterations)
	}
	stored, server, _ := strings.Cut(parts[2], ":")
	for _, text := range []string{salt, stored, server} {
		if raw, err := base64.StdEncoding.DecodeString(text); err != nil || len(raw) == 0 {
			return fmt.Errorf("must hold salt, stored key and server key in base64")
		}
	}
	return nil
}

func (c *checker) checkGroup(path string, d *Document, g Group) {
	if need := minGroupServers(d); len(g.Servers) > 0 && len(g.Servers) < need {
		c.fault(path+".servers", "needs at least %d servers so that a failed primary can be replaced", need)
	}
	domains := map[string]bool{}
	for i, s := range g.Servers {
		domains[s.FailureDomain] = true
		c.checkServer(fmt.Sprintf("%s.servers[%d]", path, i), s)
	}
	preferred := c.uniqueNames("failure domain")
	for i, domain := range g.Promotion.PreferDomains {
		domainPath := fmt.Sprintf("%s.promotion.prefer_domains[%d]", path, i)
		preferred.add(domainPath, domain)
		if !domains[domain] {
			c.fault(domainPath, "no server of the group is in failure domain %q", domain)
		}
	}
}

// minGroupServers returns three if any rank waits for a majority, so that the group
// stays writable when one server fails, and two otherwise.
func minGroupServers(d *Document) int {
	for rank := range cluster.Rank(cluster.RankCount) {
		if d.Ranks.Policy(rank).Ack != AckPrimary {
			return 3
		}
	}
	return 2
}

func (c *checker) checkGroupCustomers(path string, known map[string]bool, g Group) {
	names := c.uniqueNames("customer")
	for i, name := range g.Customers {
		customerPath := fmt.Sprintf("%s[%d]", path, i)
		names.add(customerPath, name)
		if !known[name] {
			c.fault(customerPath, "unknown customer %q", name)
		}
	}
}

func (c *checker) checkServer(path string, s Server) {
	if s.Connections > 0 && s.Connections < s.Slots+ReservedConnections {
		c.fault(path+".connections", "%d connections are too few for %d slots and %d control connections",
			s.Connections, s.Slots, ReservedConnections)
	}
}

func (c *checker) checkRanks(d *Document) {
	sum := d.Ranks.Urgent.Floor + d.Ranks.Normal.Floor + d.Ranks.Background.Floor
	if sum > 1+floorTolerance {
		c.fault("ranks", "the floors add up to %.3g, more than 1", sum)
	}
	if d.Ranks.Background.KeepFreeSlots > 0 {
		c.fault("ranks.background.keep_free_slots", "must be 0: no rank is lower than background")
	}
	kept := d.Ranks.Urgent.KeepFreeSlots + d.Ranks.Normal.KeepFreeSlots
	for i, g := range d.Groups {
		for j, s := range g.Servers {
			if kept >= s.Slots && s.Slots > 0 {
				c.fault(fmt.Sprintf("groups[%d].servers[%d].slots", i, j),
					"%d slots leave none for background work: the ranks keep %d free", s.Slots, kept)
			}
		}
	}
}

func (c *checker) checkRead(path string, r Read) {
	if r.Mode == "bounded" && r.MaxAge <= 0 {
		c.fault(path+".max_age", "mode bounded needs a max_age above 0")
	}
	if r.Mode != "bounded" && r.MaxAge > 0 {
		c.fault(path+".max_age", "is only allowed with mode bounded")
	}
}
