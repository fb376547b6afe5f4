package eventlog_test

import (
	"bytes"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"skylarkdeal/internal/eventlog"
)

func TestOneLineForEachEvent(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	l, err := eventlog.New(&b, "info")
	c.Assert(err, qt.IsNil)
	l.Debug("not shown")
	l.Info("promoted", zap.String("instance", "b"), zap.String("reason", "a is\nsilent"))
	want := `^time=\S+ level=info msg=promoted instance=b reason="a is\\nsilent"\n$`
	c.Assert(regexp.MustCompile(want).MatchString(b.String()), qt.IsTrue, qt.Commentf("%s", b.String()))
	_, err = eventlog.New(&b, "loud")
	c.Assert(err, qt.ErrorMatches, `log level: .*"loud"`)
}
