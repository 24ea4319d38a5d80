// Package tmeventlog writes the decision log: events as JSON lines, through a
// bounded buffer to one writer. When the writer is too slow, lines are dropped and
// counted; logging never blocks the process.
package tmeventlog

import (
	"bufio"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"turmericmoor/core/tmevent"

	"github.com/charmbracelet/log"
)

const (
	// bufferLines is the maximum number of lines queued for the writer.
	bufferLines = 4096
	// maxPerSecond is the rate limit of each event in lines per second. One line
	// gives the number of those left out.
	maxPerSecond = 1000
	// bufferBytes is the size of the write buffer. It is also flushed whenever no
	// lines are queued.
	bufferBytes = 32 << 10
)

type line struct {
	name   tmevent.Name
	fields []any
}

// Log is a decision log with a background writer. It is safe for concurrent use.
type Log struct {
	out      *log.Logger
	buffer   *bufio.Writer
	lines    chan line
	dropped  atomic.Int64
	accepted atomic.Int64
	done     chan struct{}

	mu     sync.Mutex
	second int64
	counts map[tmevent.Name]int
	closed bool
}

// New returns a Log that writes to w, with the name of the node in each line.
func New(w io.Writer, node string) *Log {
	buffer := bufio.NewWriterSize(w, bufferBytes)
	l := &Log{
		buffer: buffer,
		out: log.NewWithOptions(buffer, log.Options{
			Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano,
		}).With("node", node),
		lines: make(chan line, bufferLines), done: make(chan struct{}), counts: map[tmevent.Name]int{},
	}
	go l.write()
	return l
}

// Note logs an event with fields, which are pairs of a key and a value. It never
// blocks on the writer. After Close it does nothing.
func (l *Log) Note(name tmevent.Name, fields ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	if now := time.Now().Unix(); now != l.second {
		for event, n := range l.counts {
			if n > maxPerSecond {
				l.enqueue(line{tmevent.LinesLeftOut, []any{"event", string(event), "count", n - maxPerSecond}})
			}
		}
		l.second = now
		clear(l.counts)
	}
	l.counts[name]++
	if l.counts[name] <= maxPerSecond {
		l.enqueue(line{name, fields})
	}
}

func (l *Log) enqueue(n line) {
	select {
	case l.lines <- n:
		l.accepted.Add(1)
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns the number of lines dropped because the queue was full.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Written returns the number of lines accepted for writing.
func (l *Log) Written() int64 { return l.accepted.Load() }

func (l *Log) write() {
	defer close(l.done)
	reported := int64(0)
	for n := range l.lines {
		l.out.Info(string(n.name), n.fields...)
		if d := l.dropped.Load(); d > reported && len(l.lines) == 0 {
			l.out.Warn(string(tmevent.LinesDropped), "count", d-reported)
			reported = d
		}
		if len(l.lines) == 0 {
			// A write error means that the reader of the log has gone. There is no other
			// place to report it.
			_ = l.buffer.Flush()
		}
	}
}

// Close stops logging and waits until the queued lines are written, for at most
// limit.
func (l *Log) Close(limit time.Duration) {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(limit):
	}
}
