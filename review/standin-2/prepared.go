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

// preparedCase plays two clients that prepare one statement each, of different shapes, and
// run it by turns. The shape of the second one has the hash of the first one's.
func preparedCase(d *deployment) (bool, error) {
	if err := d.start(2); err != nil {
		return false, err
	}
	other := "q2c-of-another-client-00"
	if trouble() {
		var err error
		if other, err = collidingShape(victimShape); err != nil {
			return false, err
		}
	}
	shapes := map[string]string{"ordinary": victimShape, "other": other}
	d.record.writef("the ordinary client prepares %q, the other one %q", victimShape, other)
	sessions := map[string]*client{}
	for _, user := range []string{"other", "ordinary"} {
		c, err := d.machines[0].connect(user)
		if err != nil {
			return false, err
		}
		defer c.close()
		answer, err := c.ask("1"+strings.Repeat("0", 15), "PARSE s1 READ "+shapes[user])
		if err != nil {
			return false, err
		}
		d.record.writef("%s: PARSE s1 READ %s -> %q", user, shapes[user], answer)
		if !strings.HasPrefix(answer[0], "COMPLETE") {
			return false, fmt.Errorf("the statement is not prepared: %q", answer)
		}
		sessions[user] = c
	}
	for n := range rounds {
		for _, user := range []string{"other", "ordinary"} {
			id := fmt.Sprintf("%s%08x", map[string]string{"other": "aaaaaaaa", "ordinary": "bbbbbbbb"}[user], n)
			answer, err := sessions[user].ask(id, "EXECUTE s1 1a4")
			if err != nil {
				return false, err
			}
			d.record.writef("%s: %s EXECUTE s1 1a4 -> %q", user, id, answer)
		}
	}
	return d.judgePrepared(shapes)
}

// judgePrepared compares the shape that each statement has run with the one that its client
// has prepared.
func (d *deployment) judgePrepared(shapes map[string]string) (bool, error) {
	wrong, all := 0, 0
	for _, run := range d.group.Runs() {
		user := map[string]string{"aaaaaaaa": "other", "bbbbbbbb": "ordinary"}[run.ID[:min(8, len(run.ID))]]
		if user == "" {
			continue
		}
		all++
		verdict := "its own shape"
		if run.Definition != "READ "+shapes[user] {
			verdict = "ANOTHER SHAPE than its client has prepared"
			wrong++
		}
		d.record.writef("%s ran %s %q as %q for the %s client: %s", run.Server, run.ID, run.Text, run.Definition, user, verdict)
	}
	d.record.writef("%d of %d statements ran another shape than their client has prepared", wrong, all)
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

// collidingShape returns another shape of printable characters such that "r:" and the shape
// have the same 64-bit hash. The hash is not a cryptographic one: its steps are invertible, so
// that the last eight bytes follow from the others.
func collidingShape(shape string) (string, error) {
	const length = 24
	target := unmix(xxhash.Sum64String("r:" + shape))
	for n := range 1_000_000 {
		head := fmt.Sprintf("r:q%013x", n)
		h := prime5 + length
		for i := 0; i < len(head); i += 8 {
			h ^= round(binary.LittleEndian.Uint64([]byte(head[i:])))
			h = bits.RotateLeft64(h, 27)*prime1 + prime4
		}
		before := bits.RotateLeft64((target-prime4)*inverse(prime1), -27)
		var tail [8]byte
		binary.LittleEndian.PutUint64(tail[:], unround(before^h))
		candidate := head + string(tail[:])
		if printable(tail[:]) && xxhash.Sum64String(candidate) == xxhash.Sum64String("r:"+shape) {
			return strings.TrimPrefix(candidate, "r:"), nil
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
