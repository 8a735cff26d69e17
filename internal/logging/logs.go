// Package logging sets up the log that all programs write to standard error with log/slog. Each event has one message, and
// docs/operations.md lists the messages and their attribute keys.
package logging

import (
	"fmt"
	"io"
	"log/slog"
)

// Setup makes w the destination of the default slog logger. EDGE_LOG sets the format (text or json, default text) and
// EDGE_LOG_LEVEL the level (debug, info, warn or error, default info). For an unknown value Setup uses the default and
// returns an error.
func Setup(w io.Writer, env func(string) string) error {
	var level slog.Level
	options := &slog.HandlerOptions{Level: &level}
	var invalid error
	if text := env("EDGE_LOG_LEVEL"); text != "" {
		if err := level.UnmarshalText([]byte(text)); err != nil {
			invalid, level = fmt.Errorf("EDGE_LOG_LEVEL is %q: debug, info, warn and error are allowed", text), slog.LevelInfo
		}
	}
	var handler slog.Handler = slog.NewTextHandler(w, options)
	switch format := env("EDGE_LOG"); format {
	case "json":
		handler = slog.NewJSONHandler(w, options)
	case "", "text":
	default:
		invalid = fmt.Errorf("EDGE_LOG is %q: text and json are allowed", format)
	}
	slog.SetDefault(slog.New(handler))
	return invalid
}
