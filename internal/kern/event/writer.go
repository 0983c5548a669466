package event

import (
	"fmt"
	"io"
	"sync/atomic"
)

// queueLength is the maximum number of queued lines: 1 s of output of the busiest owner.
const queueLength = 4096

// Writer passes lines to another writer in the background. It drops and counts lines while the queue is full.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a Writer to out and starts its goroutine, which Close ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLength), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of the line, or drops it if the queue is full; it never blocks and never fails.
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

// Close waits until all queued lines are written; a call of Write after it panics.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	reported := int64(0)
	for line := range w.lines {
		// A write error is ignored, as there is no other place to report it.
		_, _ = w.out.Write(line)
		if dropped := w.dropped.Load(); dropped > reported {
			_, _ = fmt.Fprintf(w.out, `{"message":"linesDropped","level":"warn","fields":{"dropped":%d}}`+"\n", dropped-reported)
			reported = dropped
		}
	}
}
