package event

import (
	"fmt"
	"io"
	"sync/atomic"
)

// queueLength is how many lines may wait to be written: a second of the busiest owner.
const queueLength = 4096

// Writer hands lines to another writer in the background and drops them, counted, when that one can't keep up.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter starts writing to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLength), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line; it never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued; nothing may be written afterwards.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	reported := int64(0)
	for line := range w.lines {
		// A log that can't be written has nowhere to say so.
		_, _ = w.out.Write(line)
		if dropped := w.dropped.Load(); dropped > reported {
			_, _ = fmt.Fprintf(w.out, `{"message":"linesDropped","level":"warn","fields":{"dropped":%d}}`+"\n", dropped-reported)
			reported = dropped
		}
	}
}
