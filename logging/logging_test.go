package logging

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against losing the prefix when a logger is derived by With.
func TestPrefixSurvivesWith(t *testing.T) {
	var out bytes.Buffer
	log := For(New(&out, slog.LevelInfo, FormatText), "owner").With("upstream", "u1")
	log.Info("lease renewed")
	assert.Assert(t, strings.Contains(out.String(), `msg="owner: lease renewed" upstream=u1`), out.String())
}
