package dbserver

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/pgwire/back"
)

// executeFunction runs a function of the control protocol. It does not use an
// execution slot.
func (c *session) executeFunction(ctx context.Context, p *parsedStatement) (*result, error) {
	text, err := c.server.callControlFunction(ctx, p.controlFunction, p.controlArgs)
	if err != nil {
		return nil, err
	}
	r := &result{columns: []column{{name: p.controlFunction, declaredType: "TEXT"}}, rows: [][]any{{text}}, rowCount: 1}
	return r, nil
}

func (s *Server) callControlFunction(ctx context.Context, name string, args []string) (string, error) {
	switch name {
	case funcLog:
		return s.serveLog(ctx, args)
	case back.FuncPosition:
		return s.Status().Replayed.String(), nil
	case back.FuncStatus:
		return encodeStatus(s.Status(), nil)
	}
	if len(args) < 2 {
		return "", newError("42883", "function %s does not exist or lacks arguments", name)
	}
	if name == funcFault {
		return "", s.setFaultByName(args[0], args[1])
	}
	return s.callStateChange(ctx, name, args)
}

// callStateChange runs the functions that change the epoch, the term or the role.
func (s *Server) callStateChange(ctx context.Context, name string, args []string) (string, error) {
	epochOrTerm, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return "", newError("22P02", "%s: %v", name, err)
	}
	term := cluster.Term(epochOrTerm)
	switch name {
	case back.FuncClaim:
		return encodeStatus(s.claim(cluster.Epoch(epochOrTerm), cluster.ProxyID(args[1])))
	case back.FuncSeal:
		return encodeStatus(s.seal(term, args[1]))
	case back.FuncPromote:
		return encodeStatus(s.promote(ctx, term, args[1]))
	case back.FuncFollow:
		leader := cluster.Server{ID: cluster.ServerID(args[1])}
		if len(args) > 2 {
			leader.Address = args[2]
		}
		return encodeStatus(s.follow(term, leader))
	default:
		return "", newError("42883", "function %s does not exist", name)
	}
}

func encodeStatus(status cluster.ServerStatus, err error) (string, error) {
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(status)
	return string(text), err
}

// executeSetting runs SET, RESET, SHOW and DISCARD, which affect only the session.
func (c *session) executeSetting(p *parsedStatement) (*result, error) {
	switch p.kind {
	case kindDiscard:
		clear(c.settings)
		clear(c.prepared)
		p.commandTag = "DISCARD ALL"
	case kindReset:
		if len(p.words) > 1 && p.words[1] != "ALL" {
			delete(c.settings, settingName(p.words[1]))
		} else {
			clear(c.settings)
		}
	case kindSet:
		name, v := parseSet(p.text)
		if name == "timezone" && strings.ContainsAny(v, " ;") {
			return nil, newError("22023", "invalid value for parameter %q: %q", name, v)
		}
		c.settings[name] = v
	default:
		return c.showSetting(settingName(strings.Join(p.words[1:], "_"))), nil
	}
	return &result{}, nil
}

// showSetting returns the session's value of a setting, or else its default from
// reportedParameters.
func (c *session) showSetting(name string) *result {
	text, ok := c.settings[name]
	for _, p := range reportedParameters {
		if !ok && strings.EqualFold(p.name, name) {
			text = p.value
		}
	}
	return &result{columns: []column{{name: name, declaredType: "TEXT"}}, rows: [][]any{{text}}, rowCount: 1}
}

// parseSet parses SET [SESSION|LOCAL] name {TO|=} value.
func parseSet(text string) (name, v string) {
	text = strings.TrimSpace(text[len("SET"):])
	for _, scope := range []string{"SESSION ", "LOCAL "} {
		if len(text) > len(scope) && strings.EqualFold(text[:len(scope)], scope) {
			text = strings.TrimSpace(text[len(scope):])
		}
	}
	end := strings.IndexAny(text, " =")
	if end < 0 {
		return settingName(text), ""
	}
	name, v = settingName(text[:end]), strings.TrimSpace(text[end:])
	v = strings.TrimSpace(strings.TrimPrefix(v, "="))
	if len(v) > 3 && strings.EqualFold(v[:3], "TO ") {
		v = strings.TrimSpace(v[3:])
	}
	if len(v) > 1 && v[0] == '\'' {
		return name, strings.ReplaceAll(v[1:len(v)-1], "''", "'")
	}
	return name, strings.Trim(v, `"`)
}

func settingName(text string) string { return strings.ToLower(strings.ReplaceAll(text, `"`, "")) }
