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

// Timing and batch size of log replication.
const (
	fetchLongPollTimeout = time.Second
	fetchTimeout         = 3 * time.Second
	fetchRetryDelay      = 100 * time.Millisecond
	// maxFetchRecords is the maximum number of records per response.
	maxFetchRecords = 500
)

// paramReplication is the start-up parameter that marks the connection of a
// replica. Such connections do not count against the connection limits.
const paramReplication = "rattancove.replication"

// funcLog is the SQL function that replicas call to fetch the log.
const funcLog = "rattan_log"

// fetchResponse is the response to a replica's fetch.
type fetchResponse struct {
	// Base is the offset after which Records start. If it is below the requested
	// offset, the replica's records after Base differ from the leader's.
	Base    int         `json:"base"`
	Records []logRecord `json:"records"`
}

// termStart is the offset in the log of the first record of a term.
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

// startFollowing starts to replicate the leader's log in the background. The
// caller holds mu.
func (s *Server) startFollowing(term cluster.Term, leader cluster.Server) {
	s.stopFollowing()
	s.leader = leader
	ctx, cancel := context.WithCancel(s.ctx)
	s.stopFollow = cancel
	s.wg.Go(func() {
		for ctx.Err() == nil {
			if err := s.fetchFromLeader(ctx, term, leader); err != nil {
				eventFetchFailed.Log(&s.cfg.Log).Str("server", string(s.cfg.ID)).Str("leader", leader.Address).Err(err).Send()
			}
			delay.Sleep(ctx, fetchRetryDelay)
		}
	})
}

// fetchFromLeader opens a connection to the leader and fetches log records over
// it until an error occurs.
func (s *Server) fetchFromLeader(ctx context.Context, term cluster.Term, leader cluster.Server) error {
	dialCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	conn, err := s.cfg.Dial(dialCtx, leader.Address)
	if err != nil {
		return eris.Wrap(err, "dial leader")
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_ = conn.SetDeadline(time.Now().Add(fetchTimeout))
	frontend := pgproto3.NewFrontend(conn, conn)
	frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"user": s.cfg.User, back.ParamControl: "1", paramReplication: "1",
	}})
	if err := frontend.Flush(); err != nil {
		return err
	}
	if _, err := receiveSingleValue(frontend); err != nil {
		return err
	}
	for {
		_ = conn.SetDeadline(time.Now().Add(fetchTimeout))
		frontend.Send(&pgproto3.Query{String: s.fetchQuery(term)})
		if err := frontend.Flush(); err != nil {
			return err
		}
		text, err := receiveSingleValue(frontend)
		if err != nil {
			return err
		}
		if err := s.appendFetched(ctx, term, text); err != nil {
			return err
		}
	}
}

// fetchQuery returns the query for the records that follow this server's log.
// It includes the term starts, by which the leader finds the common prefix.
func (s *Server) fetchQuery(term cluster.Term) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	starts, _ := json.Marshal(termStarts(s.log))
	return fmt.Sprintf("SELECT %s('%d', '%d', '%x')", funcLog, term, len(s.log), starts)
}

func termStarts(log []logRecord) []termStart {
	var starts []termStart
	for i, r := range log {
		if len(starts) == 0 || starts[len(starts)-1].Term != r.Term {
			starts = append(starts, termStart{Term: r.Term, Offset: i})
		}
	}
	return starts
}

// receiveSingleValue reads messages up to ReadyForQuery and returns the first
// column of the last row.
func receiveSingleValue(frontend *pgproto3.Frontend) ([]byte, error) {
	var received []byte
	for {
		m, err := frontend.Receive()
		if err != nil {
			return nil, err
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			received = append([]byte{}, m.Values[0]...)
		case *pgproto3.ErrorResponse:
			return nil, newError(m.Code, "%s", m.Message)
		case *pgproto3.ReadyForQuery:
			return received, nil
		}
	}
}

// appendFetched appends the fetched records to the log if the server is still a
// replica at term. Records that differ from the leader's are truncated first.
func (s *Server) appendFetched(ctx context.Context, term cluster.Term, encoded []byte) error {
	var response fetchResponse
	if err := json.Unmarshal(encoded, &response); err != nil {
		return eris.Wrap(err, "decode fetched log records")
	}
	if err := s.engine.acquireWriter(ctx); err != nil {
		return err
	}
	defer s.engine.releaseWriter()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.status.Term != term || s.status.Role != cluster.RoleReplica {
		return eris.New("server is no longer a replica at the requested term")
	}
	if response.Base > len(s.log) {
		return eris.New("gap between the log and the fetched records")
	}
	if response.Base < len(s.log) {
		if err := s.truncate(response.Base); err != nil {
			return err
		}
	}
	for _, r := range response.Records {
		s.appendRecord(r)
	}
	if len(response.Records) > 0 {
		s.notify()
	}
	return nil
}

// serveLog implements funcLog. If there are no new records, it waits for some
// for up to fetchLongPollTimeout.
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
	starts, err := parseTermStarts(args[2])
	if err != nil {
		return "", err
	}
	deadline := time.NewTimer(fetchLongPollTimeout)
	defer deadline.Stop()
	for {
		response, changed, err := s.recordsAfterPrefix(cluster.Term(term), length, starts)
		if err != nil || changed == nil {
			return response, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			return response, nil
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
}

func parseTermStarts(text string) ([]termStart, error) {
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

// recordsAfterPrefix returns the encoded records that follow the common prefix of
// the log and a replica's log. If there are none and the replica has nothing to
// truncate, it also returns a channel that is closed on the next change.
func (s *Server) recordsAfterPrefix(term cluster.Term, length int, starts []termStart) (string, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.status.Term != term || s.status.Role != cluster.RolePrimary {
		return "", nil, refusedError("not the primary of term %d", term)
	}
	base := s.commonPrefixLength(length, starts)
	end := min(len(s.log), base+maxFetchRecords)
	text, err := json.Marshal(fetchResponse{Base: base, Records: s.log[base:end]})
	if err != nil {
		return "", nil, err
	}
	if base == length && end == base {
		return string(text), s.changed, nil
	}
	return string(text), nil, nil
}

// commonPrefixLength returns the number of leading records that this server's
// log has in common with a log of the given length and term starts. Two records
// with the same term and offset are equal, and so are all records before them.
func (s *Server) commonPrefixLength(length int, starts []termStart) int {
	start := len(starts) - 1
	for offset := min(length, len(s.log)); offset > 0; offset-- {
		for start > 0 && starts[start].Offset > offset-1 {
			start--
		}
		if start >= 0 && starts[start].Term == s.log[offset-1].Term {
			return offset
		}
	}
	return 0
}
