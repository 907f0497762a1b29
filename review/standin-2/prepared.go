//go:build review

package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/bits"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// victimShape is the shape that the ordinary client prepares.
	victimShape = "q2c"
	// rounds is how often both clients run their statement.
	rounds = 20
)

// preparedCase plays two clients that prepare one statement each, the ordinary one a read and
// the other one a write of another shape, and run it by turns. The definition of the second
// one has the hash of the first one's.
func preparedCase(d *deployment) (bool, error) {
	if err := d.start(2); err != nil {
		return false, err
	}
	definitions := map[string]string{"ordinary": "READ " + victimShape, "other": "WRITE q2c-of-another-client-00"}
	if trouble() {
		shape, err := collidingShape(xxhash.Sum64String("r:" + victimShape))
		if err != nil {
			return false, err
		}
		definitions["other"] = "WRITE " + shape
	}
	sessions := map[string]*client{}
	for _, user := range users {
		c, err := d.machines[0].connect(user)
		if err != nil {
			return false, err
		}
		defer c.close()
		sessions[user] = c
		if err := d.succeed(user, c, "cccccccc00000000", "PARSE s1 "+definitions[user]); err != nil {
			return false, err
		}
	}
	if err := d.succeed("ordinary", sessions["ordinary"], "cccccccc00000001", "WRITE 1a4 roll-17"); err != nil {
		return false, err
	}
	for n := range rounds {
		for _, user := range users {
			text := map[string]string{"other": "EXECUTE s1 7c2 own-data", "ordinary": "EXECUTE s1 1a4"}[user]
			id := fmt.Sprintf("%s%08x", idPrefix[user], n)
			answer, err := sessions[user].ask(id, text)
			if err != nil {
				return false, err
			}
			d.record.writef("%s: %s %s -> %q", user, id, text, answer)
		}
	}
	if err := d.succeed("ordinary", sessions["ordinary"], "cccccccc00000002", "READ 1a4"); err != nil {
		return false, err
	}
	return d.judgePrepared(definitions)
}

// users are the two clients in the order of their turns, and idPrefix the beginnings of the
// ids of the statements that they run by turns.
var (
	users    = []string{"other", "ordinary"}
	idPrefix = map[string]string{"other": "aaaaaaaa", "ordinary": "bbbbbbbb"}
)

// succeed sends a statement and returns an error unless it succeeds.
func (d *deployment) succeed(user string, c *client, id, text string) error {
	answer, err := c.ask(id, text)
	if err != nil {
		return err
	}
	d.record.writef("%s: %s %s -> %q", user, id, text, answer)
	if len(answer) < 2 || !strings.HasPrefix(answer[len(answer)-2], "COMPLETE") {
		return fmt.Errorf("%s: %s is answered %q", user, text, answer)
	}
	return nil
}

// judgePrepared compares the definition that each statement has run with the one that its
// client has prepared.
func (d *deployment) judgePrepared(definitions map[string]string) (bool, error) {
	wrong, all := 0, 0
	for _, run := range d.group.Runs() {
		for _, user := range users {
			if !strings.HasPrefix(run.ID, idPrefix[user]) {
				continue
			}
			all++
			verdict := "what its client has prepared"
			if run.Definition != definitions[user] {
				verdict = "NOT what its client has prepared"
				wrong++
			}
			d.record.writef("%s ran %s %q of the %s client as %q: %s; it committed %q", run.Server, run.ID, run.Text, user, run.Definition, verdict, run.Writes)
		}
	}
	d.record.writef("%d of %d statements ran another definition than their client has prepared", wrong, all)
	if all == 0 {
		return false, errors.New("no statement has run")
	}
	return wrong > 0, nil
}

// The constants of XXH64.
const (
	prime1 uint64 = 11400714785074694791
	prime2 uint64 = 14029467366897019727
	prime3 uint64 = 1609587929392839161
	prime4 uint64 = 9650029242287828579
	prime5 uint64 = 2870177450012600261
)

// collidingShape returns a shape of printable characters such that "w:" and the shape have the
// given 64-bit hash. The hash is not a cryptographic one: its steps are invertible, so that the
// last eight bytes follow from the others.
func collidingShape(hash uint64) (string, error) {
	const length = 24
	target := unmix(hash)
	for n := range 1_000_000 {
		head := fmt.Sprintf("w:q%013x", n)
		h := prime5 + length
		for i := 0; i < len(head); i += 8 {
			h ^= round(binary.LittleEndian.Uint64([]byte(head[i:])))
			h = bits.RotateLeft64(h, 27)*prime1 + prime4
		}
		before := bits.RotateLeft64((target-prime4)*inverse(prime1), -27)
		var tail [8]byte
		binary.LittleEndian.PutUint64(tail[:], unround(before^h))
		candidate := head + string(tail[:])
		if printable(tail[:]) && xxhash.Sum64String(candidate) == hash {
			return strings.TrimPrefix(candidate, "w:"), nil
		}
	}
	return "", errors.New("no colliding shape was found")
}

func printable(text []byte) bool {
	for _, b := range text {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

func round(input uint64) uint64 { return bits.RotateLeft64(input*prime2, 31) * prime1 }

// unround is the inverse of round.
func unround(k uint64) uint64 { return bits.RotateLeft64(k*inverse(prime1), -31) * inverse(prime2) }

// unmix is the inverse of the last steps of the hash.
func unmix(h uint64) uint64 {
	h ^= h >> 32
	h *= inverse(prime3)
	h ^= h>>29 ^ h>>58
	h *= inverse(prime2)
	return h ^ h>>33
}

// inverse returns the inverse of an odd number modulo 2^64.
func inverse(a uint64) uint64 {
	x := a
	for range 6 {
		x *= 2 - a*x
	}
	return x
}
