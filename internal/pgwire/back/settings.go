package back

import (
	"context"
	"slices"
	"strings"

	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

// applySettings makes the session's settings equal to wanted. It sends nothing
// if they already are. The first result is the server's error for a setting that
// it refused; the session's settings are then unknown.
func (c *Conn) applySettings(ctx context.Context, wanted []statement.Setting) (*ServerError, error) {
	if !c.settingsUnknown && slices.Equal(c.settings, wanted) {
		return nil, nil
	}
	commands := settingCommands(c.settings, wanted, c.settingsUnknown)
	var r queryResponse
	if err := c.proto.pipeline(ctx, r.segment(query(strings.Join(commands, "; ")))); err != nil {
		return nil, c.closeWithError(err, errcode.ConnectionLost, "apply settings")
	}
	if r.err != nil {
		c.settings, c.settingsUnknown = nil, true
		return r.err, nil
	}
	c.settings, c.settingsUnknown = slices.Clone(wanted), false
	return nil, nil
}

// settingCommands returns the statements that change the session's settings from
// current to wanted. If unknown is set, current is ignored and all settings are
// reset first.
func settingCommands(current, wanted []statement.Setting, unknown bool) []string {
	var commands []string
	if unknown {
		commands = append(commands, "RESET ALL")
		current = nil
	}
	for _, s := range current {
		kept := slices.ContainsFunc(wanted, func(w statement.Setting) bool { return w.Name == s.Name })
		if !kept {
			commands = append(commands, "RESET "+quoteSettingName(s.Name))
		}
	}
	for _, s := range wanted {
		if !slices.Contains(current, s) {
			commands = append(commands, "SET "+quoteSettingName(s.Name)+" TO "+quoteLiteral(s.Value))
		}
	}
	return commands
}

// quoteSettingName quotes each part of a dotted name.
func quoteSettingName(name string) string {
	parts := strings.Split(name, ".")
	for i, p := range parts {
		parts[i] = quoteIdentifier(p)
	}
	return strings.Join(parts, ".")
}
