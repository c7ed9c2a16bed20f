package logs

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// New returns a logger that writes JSON lines with the field process; level is a logrus level name such as "info".
func New(out io.Writer, level, process string) (*logrus.Entry, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("parse log level: %w", err)
	}
	lg := logrus.New()
	lg.SetOutput(out)
	lg.SetLevel(parsed)
	lg.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return lg.WithField("process", process), nil
}
