package config_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/engine"
	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/guard"
	"github.com/lentildeck/lentildeck/internal/place/shape"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/config"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"gotest.tools/v3/assert"
)

var (
	ctx = context.Background()
	ids atomic.Int64
)

func fixedNow() time.Time { return time.Unix(1000, 0) }

func newHolder(t *testing.T, kv *fake.KV, name string) *config.Holder {
	t.Helper()
	policy, err := engine.Policies.Lookup(engine.DefaultPolicy)
	assert.NilError(t, err)
	client := store.NewClient(kv, store.NewBudget(1e6, 1e6), fixedNow, func() string { return fmt.Sprint(name, ids.Add(1)) })
	client.Pause = func(ctx context.Context, _ time.Duration) bool { return ctx.Err() == nil }
	return config.NewHolder(client, policy)
}

func addDataCentre(doc *config.Document) error {
	doc.DataCentres = []fleet.DataCentreSpec{{Name: "plovdiv", Racks: []fleet.RackSpec{{
		Name: "plv-1", Workers: 2, Resources: shape.Resources{Accelerators: 8, Cores: 32, MemoryGB: 128},
	}}}}
	return nil
}

func TestRacingOperatorsOneWinsTheOtherIsToldWho(t *testing.T) {
	kv := fake.NewKV(fixedNow)
	first := newHolder(t, kv, "seed")
	_, err := first.Apply(ctx, "seed", "seed", addDataCentre, fixedNow())
	assert.NilError(t, err)
	var wg sync.WaitGroup
	var won, lost atomic.Int64
	for n := range 8 {
		h := newHolder(t, kv, fmt.Sprint("h", n))
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := h.Apply(ctx, fmt.Sprint("op", n), fmt.Sprint("drain ", n), func(doc *config.Document) error {
				doc.Workspaces = append(doc.Workspaces, guard.Workspace{Name: fmt.Sprint("ws", n)})
				return nil
			}, fixedNow())
			var race *config.RaceError
			switch {
			case err == nil:
				won.Add(1)
			case errors.As(err, &race):
				lost.Add(1)
				assert.Check(t, race.Winner != "" && race.Revision > 1, "%v", race)
			default:
				t.Errorf("unexpected: %v", err)
			}
		}()
	}
	wg.Wait()
	assert.Equal(t, won.Load()+lost.Load(), int64(8))
	assert.Equal(t, won.Load() >= 1, true)
	reader := newHolder(t, kv, "reader")
	doc, err := reader.Apply(ctx, "reader", "read", func(*config.Document) error { return nil }, fixedNow())
	assert.NilError(t, err)
	assert.Equal(t, int64(len(doc.Workspaces)), won.Load(), "every accepted command is in the document, and no other")
}

func TestRevisionNeverReverts(t *testing.T) {
	h := newHolder(t, fake.NewKV(fixedNow), "h")
	for _, revision := range []int64{3, 1, 2, 5, 4, 5} {
		h.Offer(&config.Document{Revision: revision}, config.FromPeer, fixedNow())
	}
	assert.Equal(t, h.Active().Document.Revision, int64(5))
}

func TestGuaranteesThatDoNotFitAtOnceAreRefused(t *testing.T) {
	h := newHolder(t, fake.NewKV(fixedNow), "h")
	_, err := h.Apply(ctx, "op", "config apply", func(doc *config.Document) error {
		_ = addDataCentre(doc)
		whole := shape.Shape{Members: 1, Resources: shape.Resources{Accelerators: 8, Cores: 8, MemoryGB: 8}}
		doc.Workspaces = []guard.Workspace{
			{Name: "a", Guarantees: []guard.Guarantee{{Count: 2, Shape: whole}}}, {Name: "b", Guarantees: []guard.Guarantee{{Count: 1, Shape: whole}}},
		}
		return nil
	}, fixedNow())
	assert.ErrorContains(t, err, "do not fit at once")
	assert.Equal(t, h.Active().Document == nil, true)
}

func TestExampleIsValidAndMistakesAreNamed(t *testing.T) {
	source, err := os.ReadFile("../../../examples/config/studenets.json")
	assert.NilError(t, err)
	doc, err := config.Parse(source)
	assert.NilError(t, err)
	policy, err := engine.Policies.Lookup(engine.DefaultPolicy)
	assert.NilError(t, err)
	assert.NilError(t, doc.Validate(policy))
	assert.Equal(t, doc.Manual("lab"), true)
	doc.Workspaces[1].DataCentres = []string{"sofia"}
	assert.ErrorContains(t, doc.Validate(policy), "sofia")
	doc.Workspaces[1] = guard.Workspace{Name: "recount"}
	assert.ErrorContains(t, doc.Validate(policy), "workspaces[1].name")
	_, err = config.Parse([]byte(`{"workspaces": [], "dataCenters": []}`))
	assert.ErrorContains(t, err, "dataCenters")
}

func TestCommandDuringAnOutageIsNotAccepted(t *testing.T) {
	kv := fake.NewKV(fixedNow)
	h := newHolder(t, kv, "h")
	kv.SetFault(fake.Fault{Down: true})
	_, err := h.Apply(ctx, "op", "drain plovdiv", addDataCentre, fixedNow())
	var down *store.UnavailableError
	assert.Equal(t, errors.As(err, &down), true)
	assert.Equal(t, h.CommandUnresolved(), false)
}

func TestUnknownCommandBlocksPermitsUntilItsFateIsRead(t *testing.T) {
	kv := fake.NewKV(fixedNow)
	h := newHolder(t, kv, "h")
	kv.SetFault(fake.Fault{LoseResponses: 1 << 20})
	short, cancel := context.WithCancel(ctx)
	cancel()
	_, err := h.Apply(short, "op", "drain plovdiv", addDataCentre, fixedNow())
	assert.Equal(t, err != nil, true)
	assert.Equal(t, h.CommandUnresolved(), true)
	h.Confirm(fixedNow().Add(time.Second))
	assert.Equal(t, h.CommandUnresolved(), true)
	h.Confirm(fixedNow().Add(time.Minute))
	assert.Equal(t, h.CommandUnresolved(), false)
}
