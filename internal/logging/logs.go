// Package logging sets up the log that all programs write to standard error: log/slog, one event one name, with the
// names and the attribute keys that docs/operations.md lists.
package logging

import (
	"fmt"
	"io"
	"log/slog"
)

// Setup makes w the log, as EDGE_LOG (text or json) and EDGE_LOG_LEVEL (debug, info, warn or error) say. With
// neither it is text, from info on. A word that it does not know is an error, and the log is as with neither.
func Setup(w io.Writer, env func(string) string) error {
	var level slog.Level
	options := &slog.HandlerOptions{Level: &level}
	var bad error
	if text := env("EDGE_LOG_LEVEL"); text != "" {
		if err := level.UnmarshalText([]byte(text)); err != nil {
			bad, level = fmt.Errorf("EDGE_LOG_LEVEL is %q: debug, info, warn and error are allowed", text), slog.LevelInfo
		}
	}
	var handler slog.Handler = slog.NewTextHandler(w, options)
	switch form := env("EDGE_LOG"); form {
	case "json":
		handler = slog.NewJSONHandler(w, options)
	case "", "text":
	default:
		bad = fmt.Errorf("EDGE_LOG is %q: text and json are allowed", form)
	}
	slog.SetDefault(slog.New(handler))
	return bad
}
