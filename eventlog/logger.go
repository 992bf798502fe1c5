// Package eventlog provides the logger, which writes one line of key=value pairs per event.
package eventlog

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes to w. Keys and secrets are never logged; only the
// public id of a key may be.
func New(w io.Writer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	cfg.MessageKey = "event"
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.AddSync(w), zapcore.InfoLevel))
}
