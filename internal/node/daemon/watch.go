package daemon

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/state/config"
	"github.com/lentildeck/lentildeck/internal/state/ledger"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/sourcegraph/conc"
)

const (
	// watchPrefix covers the configuration and the ledger, but not the claims.
	watchPrefix = "deck/"
	// watchWait is how long one watch call waits for changes; an empty answer proves that nothing changed.
	watchWait = time.Second
	// pollInterval is the time between reads of the configuration on an instance that is not the owner.
	pollInterval = time.Second
	// maxRetryDelay is the maximum delay between retries while the store does not respond.
	maxRetryDelay = 2 * time.Second
)

// watchStore follows the key-value store: the owner watches it and sends new configurations to the other instances of its
// data centre; those also read the configuration at intervals.
func (d *Daemon) watchStore(ctx context.Context) {
	var offers conc.WaitGroup
	defer offers.Wait()
	retry := backoff.NewExponentialBackOff(backoff.WithInitialInterval(100*time.Millisecond),
		backoff.WithMaxInterval(maxRetryDelay), backoff.WithMaxElapsedTime(0), backoff.WithRandomizationFactor(0.9))
	storeLost := false
	after := int64(0)
	for ctx.Err() == nil {
		wait := pollInterval
		var err error
		if d.owner.Epoch() != 0 {
			after, err = d.watchOnce(ctx, &offers, after)
			wait = 0
		} else {
			after = 0
			err = d.readConfig(ctx)
		}
		if err != nil {
			wait = retry.NextBackOff()
		} else {
			retry.Reset()
		}
		if (err != nil) != storeLost && ctx.Err() == nil {
			storeLost = err != nil
			d.logStoreState(err)
		}
		if wait > 0 {
			pause.For(ctx, wait)
		}
	}
}

func (d *Daemon) logStoreState(err error) {
	if err != nil {
		d.log.Emit(event.StoreLost, event.Fields{"error": err.Error()})
		return
	}
	d.log.Emit(event.StoreBack, event.Fields{})
}

// watchOnce makes one watch call; at the time when it was sent, the store held nothing newer than what it returned.
func (d *Daemon) watchOnce(ctx context.Context, offers *conc.WaitGroup, after int64) (int64, error) {
	sent := d.now()
	entries, upto, err := d.store.Watch(ctx, watchPrefix, after, watchWait)
	if err != nil {
		return after, err
	}
	for _, entry := range entries {
		if err := d.applyEntry(ctx, offers, entry); err != nil {
			d.log.Emit(event.RecordBad, event.Fields{"error": err.Error()})
		}
	}
	d.conf.Confirm(sent)
	return upto, nil
}

func (d *Daemon) applyEntry(ctx context.Context, offers *conc.WaitGroup, entry store.Entry) error {
	if strings.HasPrefix(entry.Key, ledger.Prefix) {
		return d.ledger.ApplyEntry(entry)
	}
	doc, err := parseDocument(entry)
	if err != nil || doc == nil {
		return err
	}
	if d.activate(doc, config.FromStore) {
		d.offerToDataCentre(ctx, offers, doc)
	}
	return nil
}

// readConfig reads the configuration from the store and activates it if it is newer.
func (d *Daemon) readConfig(ctx context.Context) error {
	sent := d.now()
	entry, err := d.store.Get(ctx, store.Commands, config.Key)
	if err != nil {
		return err
	}
	doc, err := parseDocument(entry)
	if err != nil {
		return err
	}
	if doc != nil {
		d.activate(doc, config.FromStore)
	}
	d.conf.Confirm(sent)
	return nil
}

func parseDocument(entry store.Entry) (*config.Document, error) {
	if len(entry.Data) == 0 {
		return nil, nil
	}
	var doc config.Document
	if err := json.Unmarshal(entry.Data, &doc); err != nil {
		return nil, &store.RecordError{Key: entry.Key, Problem: err.Error()}
	}
	return &doc, nil
}
