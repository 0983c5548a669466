package event_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"gotest.tools/v3/assert"
)

// blockedWriter blocks in its first write until release is closed.
type blockedWriter struct {
	bytes.Buffer
	entered     chan struct{}
	release     chan struct{}
	blockedOnce bool
}

func (s *blockedWriter) Write(line []byte) (int, error) {
	if !s.blockedOnce {
		s.blockedOnce = true
		close(s.entered)
		<-s.release
	}
	return s.Buffer.Write(line)
}

func TestWriterNeverBlocksAndCountsDroppedLines(t *testing.T) {
	out := &blockedWriter{entered: make(chan struct{}), release: make(chan struct{})}
	w := event.NewWriter(out)
	_, err := w.Write([]byte("first\n"))
	assert.NilError(t, err)
	<-out.entered
	for range 5000 {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Equal(t, w.Dropped(), int64(5000-4096))
	close(out.release)
	w.Close()
	assert.Equal(t, strings.Count(out.String(), "line\n"), 4096)
	assert.Assert(t, strings.Contains(out.String(), `"dropped":904`))
}
