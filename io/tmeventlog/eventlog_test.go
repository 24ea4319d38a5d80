package tmeventlog_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmevent"
	"turmericmoor/io/tmeventlog"
)

// buffer is a writer that a test can read while the log writes to it.
type buffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *buffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.buf.String()), "\n")
}

func TestLineHasNodeEventAndFields(t *testing.T) {
	var out buffer
	l := tmeventlog.New(&out, "n1")
	l.Note(tmevent.TaskPlaced, "task", "a.0.0.0", "run", 2)
	l.Close(time.Second)
	var line map[string]any
	assert.NilError(t, json.Unmarshal([]byte(out.lines()[0]), &line))
	assert.Equal(t, line["node"], "n1")
	assert.Equal(t, line["msg"], string(tmevent.TaskPlaced))
	assert.Equal(t, line["run"], 2.0)
}

// blockedWriter is a writer that blocks until release is closed, as a pipe does whose
// reader has stopped.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against a stopped reader of the log that blocks decisions: lines must be
// dropped and counted instead.
func TestBlockedWriterDoesNotDelayNote(t *testing.T) {
	w := blockedWriter{release: make(chan struct{})}
	l := tmeventlog.New(w, "n1")
	const (
		lines       = 20_000
		maxDuration = 2 * time.Second
	)
	began := time.Now()
	for i := range lines {
		l.Note(tmevent.All[i%len(tmevent.All)], "i", i)
	}
	assert.Assert(t, time.Since(began) < maxDuration)
	assert.Assert(t, l.Dropped() > 0)
	close(w.release)
	l.Close(time.Second)
}

// Guards against a frequent event that fills the log and displaces other events: its
// lines must be rate-limited.
func TestRateLimitPerEvent(t *testing.T) {
	var out buffer
	l := tmeventlog.New(&out, "n1")
	const flood = 3000
	for range flood {
		l.Note(tmevent.RunEnded, "x", 1)
	}
	l.Note(tmevent.OwnerWon, "token", 1)
	l.Close(time.Second)
	text := strings.Join(out.lines(), "\n")
	assert.Assert(t, len(out.lines()) < flood)
	assert.Assert(t, strings.Contains(text, string(tmevent.OwnerWon)))
}

func BenchmarkNote(b *testing.B) {
	l := tmeventlog.New(&buffer{}, "n1")
	defer l.Close(time.Second)
	for i := range b.N {
		l.Note(tmevent.TaskPlaced, "task", "5c0e7a21d94b36f8.0.1.17", "run", i, "endpoint", "i-7f3a91c2", "free_cpu", 1200)
	}
}
