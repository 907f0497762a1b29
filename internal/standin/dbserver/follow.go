package dbserver

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/pgwire/back"
)

// Waits of log shipping.
const (
	fetchPoll    = time.Second
	fetchTimeout = 3 * time.Second
	fetchRetry   = 100 * time.Millisecond
	// fetchBatch bounds the records of one answer.
	fetchBatch = 500
)

// paramReplication marks the connection of a replica; it counts against no limit.
const paramReplication = "rattancove.replication"

// funcLog is the function by which replicas fetch the log.
const funcLog = "rattan_log"

// fetched is the answer to a replica.
type fetched struct {
	// Base is the offset that the records follow. When it is below the
	// requested offset, the replica's later records are not the leader's.
	Base    int      `json:"base"`
	Records []record `json:"records"`
}

// termStart tells where the records of a term begin.
type termStart struct {
	Term   cluster.Term `json:"term"`
	Offset int          `json:"offset"`
}

func (s *Server) stopFollowing() {
	if s.stopFollow != nil {
		s.stopFollow()
		s.stopFollow = nil
	}
}

// startFollowing fetches the leader's log in the background. The caller holds mu.
func (s *Server) startFollowing(term cluster.Term, leader cluster.Server) {
	s.stopFollowing()
	s.leader = leader
	ctx, cancel := context.WithCancel(s.ctx)
	s.stopFollow = cancel
	s.wg.Go(func() {
		for ctx.Err() == nil {
			if err := s.followOnce(ctx, term, leader); err != nil {
				eventFetchFailed.Log(&s.cfg.Log).Str("server", string(s.cfg.ID)).Str("leader", leader.Address).Err(err).Send()
			}
			delay.Sleep(ctx, fetchRetry)
		}
	})
}

// followOnce fetches over one connection until it fails.
func (s *Server) followOnce(ctx context.Context, term cluster.Term, leader cluster.Server) error {
	dialCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	conn, err := s.cfg.Dial(dialCtx, leader.Address)
	if err != nil {
		return eris.Wrap(err, "dial leader")
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_ = conn.SetDeadline(time.Now().Add(fetchTimeout))
	f := pgproto3.NewFrontend(conn, conn)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"user": s.cfg.User, back.ParamControl: "1", paramReplication: "1",
	}})
	if err := f.Flush(); err != nil {
		return err
	}
	if _, err := receiveRow(f); err != nil {
		return err
	}
	for {
		_ = conn.SetDeadline(time.Now().Add(fetchTimeout))
		f.Send(&pgproto3.Query{String: s.fetchQuery(term)})
		if err := f.Flush(); err != nil {
			return err
		}
		text, err := receiveRow(f)
		if err != nil {
			return err
		}
		if err := s.store(ctx, term, text); err != nil {
			return err
		}
	}
}

// fetchQuery asks for what follows the log of this server.
func (s *Server) fetchQuery(term cluster.Term) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	starts, _ := json.Marshal(termStarts(s.log))
	return fmt.Sprintf("SELECT %s('%d', '%d', '%x')", funcLog, term, len(s.log), starts)
}

func termStarts(log []record) []termStart {
	var starts []termStart
	for i, r := range log {
		if len(starts) == 0 || starts[len(starts)-1].Term != r.Term {
			starts = append(starts, termStart{Term: r.Term, Offset: i})
		}
	}
	return starts
}

// receiveRow reads up to the ready state and returns the last single value.
func receiveRow(f *pgproto3.Frontend) ([]byte, error) {
	var row []byte
	for {
		m, err := f.Receive()
		if err != nil {
			return nil, err
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			row = append([]byte{}, m.Values[0]...)
		case *pgproto3.ErrorResponse:
			return nil, newError(m.Code, "%s", m.Message)
		case *pgproto3.ReadyForQuery:
			return row, nil
		}
	}
}

// store appends fetched records if the server still follows at term.
func (s *Server) store(ctx context.Context, term cluster.Term, text []byte) error {
	var answer fetched
	if err := json.Unmarshal(text, &answer); err != nil {
		return eris.Wrap(err, "decode log")
	}
	if err := s.engine.acquire(ctx); err != nil {
		return err
	}
	defer s.engine.release()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.status.Term != term || s.status.Role != cluster.RoleReplica {
		return eris.New("no longer a replica of the term")
	}
	if answer.Base > len(s.log) {
		return eris.New("gap in the log")
	}
	if answer.Base < len(s.log) {
		if err := s.truncate(answer.Base); err != nil {
			return err
		}
	}
	for _, r := range answer.Records {
		s.appendRecord(r)
	}
	if len(answer.Records) > 0 {
		s.notify()
	}
	return nil
}

// serveLog answers a replica; it waits a while for new records.
func (s *Server) serveLog(ctx context.Context, args []string) (string, error) {
	if len(args) != 3 {
		return "", newError("42883", "%s takes three arguments", funcLog)
	}
	term, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return "", newError("22P02", "term: %v", err)
	}
	length, err := strconv.Atoi(args[1])
	if err != nil {
		return "", newError("22P02", "offset: %v", err)
	}
	starts, err := parseStarts(args[2])
	if err != nil {
		return "", err
	}
	deadline := time.NewTimer(fetchPoll)
	defer deadline.Stop()
	for {
		answer, changed, err := s.recordsFor(cluster.Term(term), length, starts)
		if err != nil || changed == nil {
			return answer, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			return answer, nil
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
}

func parseStarts(text string) ([]termStart, error) {
	var starts []termStart
	decoded, err := decodeHex(`\x` + text)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(*decoded.Bytes, &starts); err != nil {
		return nil, newError("22P02", "term starts: %v", err)
	}
	return starts, nil
}

// recordsFor returns the records after the part of the log that the replica
// shares. The channel is set when there is nothing new.
func (s *Server) recordsFor(term cluster.Term, length int, starts []termStart) (string, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.status.Term != term || s.status.Role != cluster.RolePrimary {
		return "", nil, refused("not the primary of term %d", term)
	}
	base := s.sharedPrefix(length, starts)
	end := min(len(s.log), base+fetchBatch)
	text, err := json.Marshal(fetched{Base: base, Records: s.log[base:end]})
	if err != nil {
		return "", nil, err
	}
	if base == length && end == base {
		return string(text), s.changed, nil
	}
	return string(text), nil, nil
}

// sharedPrefix returns the highest offset up to which a log of the given
// length and terms is equal to this server's log. Two records with the same
// term and offset are equal, and so is everything before them.
func (s *Server) sharedPrefix(length int, starts []termStart) int {
	at := len(starts) - 1
	for o := min(length, len(s.log)); o > 0; o-- {
		for at > 0 && starts[at].Offset > o-1 {
			at--
		}
		if at >= 0 && starts[at].Term == s.log[o-1].Term {
			return o
		}
	}
	return 0
}
