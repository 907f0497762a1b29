//go:build review

package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"strings"
	"time"
)

// The shape that the victim prepares, and the number of times that it is run.
const (
	victimShape      = "q2c-add-rolls"
	collisionRounds  = 20
	collisionBlock   = 8
	shapeLetters     = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
	collisionTimeout = 3 * time.Second
)

// Constants of the published definition of XXH64, and their inverses modulo 2^64.
const (
	prime1 uint64 = 11400714785074694791
	prime2 uint64 = 14029467366897019727
	prime3 uint64 = 1609587929392839161
	prime4 uint64 = 9650029242287828579
	prime5 uint64 = 2870177450012600261
)

// inverse returns the inverse of an odd number modulo 2^64.
func inverse(a uint64) uint64 {
	x := a
	for range 6 {
		x *= 2 - a*x
	}
	return x
}

func round(block uint64) uint64 { return bits.RotateLeft64(block*prime2, 31) * prime1 }

func mix(h, block uint64) uint64 { return bits.RotateLeft64(h^round(block), 27)*prime1 + prime4 }

func avalanche(h uint64) uint64 {
	h = (h ^ h>>33) * prime2
	h = (h ^ h>>29) * prime3
	return h ^ h>>32
}

// unshift inverts h ^ h>>n.
func unshift(h uint64, n uint) uint64 {
	x := h
	for range 64/n + 1 {
		x = h ^ x>>n
	}
	return x
}

func unavalanche(h uint64) uint64 {
	h = unshift(h, 32) * inverse(prime3)
	h = unshift(h, 29) * inverse(prime2)
	return unshift(h, 33)
}

// sum is XXH64 with the seed zero of a text of less than 32 bytes.
func sum(text string) uint64 {
	data := []byte(text)
	h := prime5 + uint64(len(data))
	for ; len(data) >= 8; data = data[8:] {
		h = mix(h, binary.LittleEndian.Uint64(data))
	}
	if len(data) >= 4 {
		h = bits.RotateLeft64(h^uint64(binary.LittleEndian.Uint32(data))*prime1, 23)*prime2 + prime3
		data = data[4:]
	}
	for _, b := range data {
		h = bits.RotateLeft64(h^uint64(b)*prime5, 11) * prime1
	}
	return avalanche(h)
}

// collide returns a text of two blocks with a prefix and otherwise letters and digits that has
// the same hash as text. The first block is chosen at random; the second one follows.
func collide(text, prefix string) string {
	target := unavalanche(sum(text))
	for {
		first := []byte(prefix)
		for len(first) < collisionBlock {
			first = append(first, shapeLetters[rand.IntN(len(shapeLetters))])
		}
		h := mix(prime5+2*collisionBlock, binary.LittleEndian.Uint64(first))
		needed := h ^ bits.RotateLeft64((target-prime4)*inverse(prime1), -27)
		block := bits.RotateLeft64(needed*inverse(prime1), -31) * inverse(prime2)
		candidate := string(binary.LittleEndian.AppendUint64(first, block))
		if strings.Trim(candidate[collisionBlock:], shapeLetters) == "" {
			return candidate
		}
	}
}

// runCollision has one client prepare and run a shape before another client prepares and runs
// its own. Rule PINNED: no name may run another shape than its client prepared. With the
// disruption, the first client has chosen its shape for the hash by which the proxy names it.
func runCollision(f *fleet, trouble bool) ([]string, error) {
	const access = "w:" // what the proxy hashes ahead of the shape of a write
	shape := "q7x-drop-rolls"
	if trouble {
		shape = strings.TrimPrefix(collide(access+victimShape, access), access)
	}
	record("the other client's shape is %q, with the hash %016x; that of %q is %016x", shape, sum(access+shape), victimShape, sum(access+victimShape))
	prepared := map[string]string{}
	for n := range collisionRounds {
		for _, s := range []string{shape, victimShape} {
			id, err := prepareAndRun(f.processes[n%len(f.processes)], s, n)
			if err != nil {
				return nil, err
			}
			prepared[id] = s
		}
	}
	var violations []string
	for _, r := range f.group.Runs() {
		if s, ok := prepared[r.ID]; ok && r.Definition != "WRITE "+s {
			violations = append(violations, fmt.Sprintf("PINNED: %s %q of a client that prepared %q ran %q at %s", r.ID, r.Text, "WRITE "+s, r.Definition, r.Server))
		}
	}
	return violations, nil
}

// prepareAndRun prepares a shape in a new session and runs it once. It returns the id of the
// statement.
func prepareAndRun(p *process, shape string, n int) (id string, err error) {
	c, err := connect(p.front, primaryDatabase)
	if err != nil {
		return "", err
	}
	defer c.close()
	a, err := c.query(newID(), "PARSE s1 WRITE "+shape, collisionTimeout)
	if err != nil || a.code != "" {
		return "", errors.Join(err, fmt.Errorf("PARSE: %v", a))
	}
	id = newID()
	text := fmt.Sprintf("EXECUTE s1 i%d d%d-%s", n, n, shape)
	a, err = c.query(id, text, collisionTimeout)
	record("client at %s: after PARSE s1 WRITE %s: %s %q: %v %v", p.name, shape, id, text, a, err)
	return id, err
}
