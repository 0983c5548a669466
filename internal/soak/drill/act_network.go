package drill

import (
	"context"

	"github.com/lentildeck/lentildeck/internal/soak/fault"
	"github.com/lentildeck/lentildeck/internal/soak/link"
	"github.com/lentildeck/lentildeck/internal/soak/worker"
)

func cut(w *worker.Worker, change int) {
	w.CutRegistry(change > 0)
	for _, l := range w.Links() {
		cutLink(l, change, false)
	}
}

func cutLink(l *link.Link, change int, inOnly bool) {
	l.Change(func(s *link.State) {
		s.CutIn += change
		if !inOnly {
			s.CutOut += change
		}
	})
}

// cutCentre cuts the instances and workers of a data centre off from the others, and from the store.
func (a *actor) cutCentre(ctx context.Context, x fault.CentreCut) {
	apply := func(change int) {
		for dc, workers := range a.byDC {
			for _, w := range workers {
				if dc == x.Centre {
					w.CutRegistry(change > 0)
				}
				for from, l := range w.Links() {
					if from != dc && (from == x.Centre || dc == x.Centre) {
						cutLink(l, change, x.OneWay)
					}
				}
			}
		}
		for _, b := range a.boxes {
			for from, l := range b.peerLinks {
				if from != b.dc && (from == x.Centre || b.dc == x.Centre) {
					cutLink(l, change, x.OneWay)
				}
			}
			if b.dc == x.Centre {
				cutLink(b.storeLink, change, x.OneWay)
			}
		}
	}
	apply(1)
	wait(ctx, x.For)
	apply(-1)
}

// reset resets or silences open connections to the store, between instances and to workers.
func (a *actor) reset(x fault.ChannelsReset) {
	var links []*link.Link
	for _, b := range a.boxes {
		links = append(append(links, b.storeLink), b.peerLinks...)
	}
	for _, w := range a.workers {
		links = append(links, w.Links()...)
	}
	a.mu.Lock()
	links = pick(a.rand, links, x.Share)
	a.mu.Unlock()
	for _, l := range links {
		if x.Silent {
			l.Silence()
		} else {
			l.Reset()
		}
	}
}
