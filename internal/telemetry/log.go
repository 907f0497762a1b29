package telemetry

import (
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// LogConfig configures the log of a process.
type LogConfig struct {
	// Level is a zerolog level name.
	Level string
	// Format is "json" or "console".
	Format string
	// Process and ID are added to every line.
	Process string
	ID      string
}

// NewLogger returns a logger that writes to out.
func NewLogger(config LogConfig, out io.Writer) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(config.Level)
	if err != nil {
		return zerolog.Nop(), eris.Wrapf(err, "log level %q", config.Level)
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	if config.Format == "console" {
		out = zerolog.ConsoleWriter{Out: out, NoColor: true, TimeFormat: time.RFC3339Nano}
	}
	return zerolog.New(out).Level(level).With().Timestamp().
		Str("process", config.Process).Str("id", config.ID).Logger(), nil
}
