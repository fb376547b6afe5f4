// Package eventlog makes the logger of the program: one line of key=value pairs
// for each event.
package eventlog

import (
	"fmt"
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes events of level and above to w. The level is
// one of debug, info, warn and error.
func New(w io.Writer, level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	c := zap.NewProductionEncoderConfig()
	c.TimeKey = "time"
	c.EncodeTime = zapcore.TimeEncoderOfLayout(time.RFC3339Nano)
	c.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(c), zapcore.Lock(zapcore.AddSync(w)), l)
	return zap.New(core), nil
}
