package proof

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/rattancove/rattancove/internal/errcode"
)

// searchTimeout bounds the search for a linearization of one history.
const searchTimeout = 20 * time.Second

type registerInput struct {
	key   string
	write string
	read  bool
}

// registerModel models one register per key: a read returns the last write.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		return partitionByKey(history, func(o porcupine.Operation) string { return o.Input.(registerInput).key })
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.read {
			return output.(string) == state.(string), state
		}
		return true, in.write
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %v", input, output) },
}

type orderOutput struct{ known, repeat bool }

// orderModel models the record of order ids. The input is the id, and the state is
// whether the order has run.
var orderModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		return partitionByKey(history, func(o porcupine.Operation) string { return o.Input.(string) })
	},
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		out := output.(orderOutput)
		// The first answer is given once. A repeat may come without an earlier request,
		// as an earlier attempt of the same request may have run.
		return !out.known || out.repeat || !state.(bool), true
	},
}

func partitionByKey(history []porcupine.Operation, key func(porcupine.Operation) string) [][]porcupine.Operation {
	index := map[string]int{}
	var parts [][]porcupine.Operation
	for _, o := range history {
		k := key(o)
		i, ok := index[k]
		if !ok {
			i = len(parts)
			index[k] = i
			parts = append(parts, nil)
		}
		parts[i] = append(parts[i], o)
	}
	return parts
}

// checkLinearizable checks that the reads with freshness latest and the writes of the
// shared keys are linearizable, and so are the orders and the changes of documents.
func (r *report) checkLinearizable() {
	r.checkModel(guaranteeLatestReads, registerModel, r.registerHistory())
	r.checkModel(guaranteeOrdersOnce, orderModel, r.orderHistory())
	r.checkModel(guaranteeChangeOutcomes, pointerModel, r.pointerHistory())
}

func (r *report) checkModel(guarantee string, model porcupine.Model, history []porcupine.Operation) {
	r.counts["operations searched"] += len(history)
	switch porcupine.CheckOperationsTimeout(model, history, searchTimeout) {
	case porcupine.Illegal:
		r.addViolation(guarantee, "%d operations are not linearizable", len(history))
	case porcupine.Unknown:
		r.counts["searches given up"]++
	}
}

// registerHistory returns the reads with freshness latest and the writes of the shared
// keys. A write of unknown outcome is open-ended, or left out if it is in no log.
func (r *report) registerHistory() []porcupine.Operation {
	var history []porcupine.Operation
	for i, op := range r.history {
		if op.outcome == errcode.OutcomeNotRun {
			continue
		}
		if op.latest && op.outcome == errcode.OutcomeDone {
			if op.value != "" && !r.inFinalLog(op) {
				r.counts["latest reads of unacknowledged writes lost later"]++
				continue
			}
			in := registerInput{key: string(op.group) + "/" + op.key, read: true}
			history = append(history, porcupine.Operation{ClientId: i, Input: in, Call: op.call.UnixNano(), Output: op.value, Return: op.end.UnixNano()})
		}
		for _, w := range op.writes {
			if w.key != "shared-0" && w.key != "shared-1" {
				continue
			}
			end := op.end.UnixNano()
			if op.outcome == errcode.OutcomeUnknown {
				end = math.MaxInt64
				if r.occurrences(op.group, w) == 0 {
					continue
				}
			}
			in := registerInput{key: string(op.group) + "/" + w.key, write: w.value}
			history = append(history, porcupine.Operation{ClientId: i, Input: in, Call: op.call.UnixNano(), Output: "", Return: end})
		}
	}
	return history
}

// pointerState is the content of the row that names the document in force.
type pointerState struct {
	revision uint64
	id       string
}

// pointerModel models that row. A change replaces the revision on which it is
// conditional by the next one.
var pointerModel = porcupine.Model{
	Init: func() any { return pointerState{revision: 1, id: "first"} },
	Step: func(state, input, _ any) (bool, any) {
		s, c := state.(pointerState), input.(*change)
		seen := pointerState{c.revision, c.revisionChangeID}
		switch {
		case c.id == "":
			return s == seen, s
		case c.result == changeConflict:
			return s.revision != c.base, s
		case c.result == changeDone:
			return s.revision == c.base && seen == pointerState{c.base + 1, c.id}, seen
		default:
			return s.revision == c.base, pointerState{c.base + 1, c.id}
		}
	},
}

// pointerHistory returns the reads and changes of operators. A change of unknown
// outcome is open-ended, or left out if it created no revision.
func (r *report) pointerHistory() []porcupine.Operation {
	var history []porcupine.Operation
	for i, c := range r.changes {
		end := c.end.UnixNano()
		if c.result == changeRefused || c.result == changeUnknown {
			end = math.MaxInt64
			if r.revisions[c.id] == 0 {
				continue
			}
		}
		history = append(history, porcupine.Operation{ClientId: i, Input: c, Call: c.call.UnixNano(), Return: end})
	}
	return history
}

// inFinalLog reports whether the value that a read returned is in the final log.
func (r *report) inFinalLog(op *operation) bool {
	return r.occurrences(op.group, write{op.key, op.value}) > 0
}

func (r *report) orderHistory() []porcupine.Operation {
	var history []porcupine.Operation
	for i, op := range r.history {
		if op.orderID == "" || op.outcome == errcode.OutcomeNotRun {
			continue
		}
		end := op.end.UnixNano()
		if op.outcome == errcode.OutcomeUnknown {
			if r.occurrences(op.group, op.writes[0]) == 0 {
				continue
			}
			end = math.MaxInt64
		}
		out := orderOutput{known: op.outcome == errcode.OutcomeDone, repeat: op.result.Deduplicated}
		history = append(history, porcupine.Operation{ClientId: i, Input: string(op.group) + "/" + op.orderID, Call: op.call.UnixNano(), Output: out, Return: end})
	}
	return history
}
