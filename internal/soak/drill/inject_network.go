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
func (inj *injector) cutCentre(ctx context.Context, x fault.CentreCut) {
	apply := func(change int) {
		for dc, workers := range inj.byDC {
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
		for _, n := range inj.nodes {
			for from, l := range n.peerLinks {
				if from != n.dc && (from == x.Centre || n.dc == x.Centre) {
					cutLink(l, change, x.OneWay)
				}
			}
			if n.dc == x.Centre {
				cutLink(n.storeLink, change, x.OneWay)
			}
		}
	}
	apply(1)
	wait(ctx, x.For)
	apply(-1)
}

// reset resets or silences open connections to the store, between instances and to workers.
func (inj *injector) reset(x fault.ChannelsReset) {
	var links []*link.Link
	for _, n := range inj.nodes {
		links = append(append(links, n.storeLink), n.peerLinks...)
	}
	for _, w := range inj.workers {
		links = append(links, w.Links()...)
	}
	inj.mu.Lock()
	links = pick(inj.rand, links, x.Share)
	inj.mu.Unlock()
	for _, l := range links {
		if x.Silent {
			l.Silence()
		} else {
			l.Reset()
		}
	}
}
