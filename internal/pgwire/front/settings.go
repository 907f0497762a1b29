package front

import (
	"slices"

	"github.com/rattancove/rattancove/internal/sqlclass"
	"github.com/rattancove/rattancove/internal/statement"
)

// sessionSettings are the session settings of one caller. They are sent with each
// request, because connections are shared.
type sessionSettings struct {
	// initial holds the settings of the startup message.
	initial []statement.Setting
	// current is shared with requests. It is therefore replaced and never modified.
	current []statement.Setting
}

func newSessionSettings(initial []statement.Setting) sessionSettings {
	return sessionSettings{initial: initial, current: initial}
}

func (s *sessionSettings) reset() { s.current = s.initial }

// afterBatch returns the settings after the statements of a batch have run.
func (s *sessionSettings) afterBatch(current []statement.Setting, b *batch) []statement.Setting {
	for st := range b.statements {
		switch st.Kind {
		case sqlclass.KindSet:
			if st.Default {
				current = s.withInitialValue(current, st.Name)
				continue
			}
			current = withSetting(current, statement.Setting{Name: st.Name, Value: st.Value})
		case sqlclass.KindReset:
			if st.Name == sqlclass.AllNames {
				current = s.initial
				continue
			}
			current = s.withInitialValue(current, st.Name)
		}
	}
	return current
}

// withInitialValue returns the settings with the named one reset to its initial
// value.
func (s *sessionSettings) withInitialValue(current []statement.Setting, name string) []statement.Setting {
	i := settingIndex(s.initial, name)
	if i >= 0 {
		return withSetting(current, s.initial[i])
	}
	i = settingIndex(current, name)
	if i < 0 {
		return current
	}
	return slices.Delete(slices.Clone(current), i, i+1)
}

// withSetting returns a copy of the settings in which setting is added or replaced
// and comes last.
func withSetting(current []statement.Setting, setting statement.Setting) []statement.Setting {
	updated := make([]statement.Setting, 0, len(current)+1)
	for _, s := range current {
		if s.Name != setting.Name {
			updated = append(updated, s)
		}
	}
	return append(updated, setting)
}

func settingIndex(settings []statement.Setting, name string) int {
	return slices.IndexFunc(settings, func(s statement.Setting) bool { return s.Name == name })
}
