package memory

import (
	"math"
	"runtime/debug"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Shares of the memory limit of the process. The sum of the pools may exceed totalShare,
// which bounds all of them and leaves room below the 0.6 at which the Go runtime collects
// garbage more aggressively.
const (
	totalShare   = 0.42
	messageShare = 0.05
	longShare    = 0.12
	textShare    = 0.08
	peerShare    = 0.1
	answerShare  = 0.3
	// requestShare bounds the waiting requests at the home of one group, whose bytes are
	// part of those of the other pools.
	requestShare = 0.1
	// minPool is the smallest limit of a pool: enough for a statement or an answer of 1 MiB
	// with its copies.
	minPool = 8 << 20
)

// Copies is the number of copies of a message that a process holds at a time: as received,
// decoded, encoded for the other side, and in the buffers of connections.
const Copies = 4

// Budget bounds the memory that a process holds for its clients.
type Budget struct {
	total *Pool
	// Messages is for callers' messages of some KiB, Long for longer ones. They are
	// separate, so that many incomplete ones of some KiB do not keep a long one from
	// completing.
	Messages, Long *Pool
	// Texts is for the prepared statements and settings of sessions.
	Texts *Pool
	// Peers is for the requests of other processes.
	Peers *Pool
	// Answers is for the answers of servers and of other processes, until they are passed on.
	Answers *Pool

	limit  atomic.Int64
	report *Reporter
}

// NewBudget returns the budget of a process with the given memory limit in bytes; zero means
// that there is no limit.
func NewBudget(memoryLimit int64) *Budget {
	report := &Reporter{}
	total := newPool("total", nil, report)
	b := &Budget{
		total: total, report: report,
		Messages: newPool("messages", total, report), Long: newPool("long_messages", total, report),
		Texts: newPool("session_texts", total, report),
		Peers: newPool("peers", total, report), Answers: newPool("answers", total, report),
	}
	b.SetLimit(memoryLimit)
	return b
}

// runtimeShare is the share of a process's memory that operators are advised to give the Go
// runtime as its limit, GOMEMLIMIT.
const runtimeShare = 0.6

// NewRuntimeBudget returns the budget of a process whose memory limit follows from that of
// the Go runtime. There is no limit if the runtime has none.
func NewRuntimeBudget() *Budget {
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return NewBudget(0)
	}
	return NewBudget(int64(float64(limit) / runtimeShare))
}

// LogTo sets the log for refusals and closed connections. It must be called before the
// budget is used.
func (b *Budget) LogTo(log *zerolog.Logger) { b.report.log = log }

// SetLimit applies a memory limit in bytes.
func (b *Budget) SetLimit(memoryLimit int64) {
	b.limit.Store(memoryLimit)
	for pool, share := range map[*Pool]float64{
		b.total: totalShare, b.Messages: messageShare, b.Long: longShare, b.Texts: textShare,
		b.Peers: peerShare, b.Answers: answerShare,
	} {
		pool.limit.Store(shareOf(memoryLimit, share))
	}
}

// RequestBytes returns the bound of the waiting requests at the home of one group; zero if
// there is none.
func (b *Budget) RequestBytes() int64 { return shareOf(b.limit.Load(), requestShare) }

// BufferBytes and PreparedBytes return the bounds of the messages and of the prepared
// statements at the PostgreSQL interface, which are at most the given ones.
func (b *Budget) BufferBytes(most int64) int64 { return b.atMost(most, answerShare) }

// PreparedBytes is described at BufferBytes.
func (b *Budget) PreparedBytes(most int64) int64 { return b.atMost(most, textShare) }

func (b *Budget) atMost(most int64, share float64) int64 {
	if bound := shareOf(b.limit.Load(), share); bound > 0 {
		return min(most, bound)
	}
	return most
}

func shareOf(memoryLimit int64, share float64) int64 {
	if memoryLimit <= 0 {
		return 0
	}
	return max(int64(share*float64(memoryLimit)), minPool)
}
