package operator

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// newLogger returns a logger that writes events of at least minLevel to out, one per line,
// in the given format.
func newLogger(format, minLevel string, out io.Writer) log.Logger {
	out = log.NewSyncWriter(out)
	l := log.NewLogfmtLogger(out)
	if format == "json" {
		l = log.NewJSONLogger(out)
	}
	l = level.NewFilter(l, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
	return log.With(l, "time", log.DefaultTimestampUTC)
}
