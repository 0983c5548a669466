package daemon

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/oper/exec"
	"github.com/lentildeck/lentildeck/internal/oper/view"
	"github.com/lentildeck/lentildeck/internal/peer/link"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/state/config"
	"github.com/lentildeck/lentildeck/internal/state/ledger"
	"github.com/lentildeck/lentildeck/internal/state/store"
)

const (
	// operatorBody bounds what an operator may send; a whole configuration fits.
	maxOperatorBodyBytes = 1 << 20
	// commandTimeout bounds one command.
	commandTimeout = 6 * time.Second
	// headerOperator names the operator for the record.
	headerOperator = "X-Operator"
)

// operatorApp serves commands, questions, configuration and metrics to those who know the token.
func (d *Daemon) operatorApp() *fiber.App {
	app := newApp(maxOperatorBodyBytes)
	app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok") })
	app.Use(d.authenticate)
	app.Post("/v1/operator", d.runLine)
	app.Get("/v1/config", d.showConfig)
	app.Post("/v1/config", d.applyConfig)
	app.Post("/v1/config/check", d.checkConfig)
	app.Get("/debug/vars", func(c *fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return c.SendString(d.meters.String())
	})
	d.publish()
	return app
}

// publish adds the metrics that are worked out when they are read.
func (d *Daemon) publish() {
	d.meters.Publish("storeCalls", func() any { return d.storeCalls() })
	d.meters.Publish("quickWaiting", func() any { return d.pool.Waiting() })
	d.meters.Publish("epoch", func() any { return d.owner.Epoch() })
	d.meters.Publish("revision", func() any { return d.revision() })
}

// StoreCalls counts the calls made to the key-value service by class.
type StoreCalls struct {
	Leases   int64 `json:"leases"`
	Commands int64 `json:"commands"`
	Claims   int64 `json:"claims"`
	Jobs     int64 `json:"jobs"`
	Other    int64 `json:"other"`
}

func (d *Daemon) storeCalls() StoreCalls {
	budget := d.store.Budget()
	return StoreCalls{
		Leases: budget.Taken(store.Leases), Commands: budget.Taken(store.Commands), Claims: budget.Taken(store.Claims),
		Jobs: budget.Taken(store.Jobs), Other: budget.Taken(store.Other),
	}
}

// authenticate compares the token in constant time.
func (d *Daemon) authenticate(c *fiber.Ctx) error {
	given := sha256.Sum256([]byte(strings.TrimPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")))
	expected := sha256.Sum256([]byte(d.settings.Operators.Token))
	if subtle.ConstantTimeCompare(given[:], expected[:]) != 1 {
		return writeProblem(c, fiber.StatusUnauthorized, "unauthorized", "operators need the token from the settings: --token or LENTILDECK_TOKEN", true)
	}
	return c.Next()
}

// operatorOf names who gives a command.
func operatorOf(c *fiber.Ctx) string {
	name := c.Get(headerOperator, "operator")
	return strings.Clone(name[:min(len(name), maxNameLength)])
}

// runLine carries out one statement.
func (d *Daemon) runLine(c *fiber.Ctx) error {
	var line exec.Line
	if err := json.Unmarshal(c.Body(), &line); err != nil {
		return writeProblem(c, fiber.StatusBadRequest, "bad_request", err.Error(), true)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	result, err := exec.Run(ctx, d, operatorOf(c), line.Line)
	d.log.Emit(event.Commanded, event.Fields{"by": operatorOf(c), "line": line.Line, "error": errorText(err)})
	if err != nil {
		return d.writeCommandError(c, err)
	}
	return c.JSON(result)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// commandFailed says whether the command had an effect.
func (d *Daemon) writeCommandError(c *fiber.Ctx, err error) error {
	var race *config.RaceError
	var unknown *store.UnknownError
	var unavailable *store.UnavailableError
	var lost *store.LostError
	var budget *store.BudgetError
	switch {
	case errors.As(err, &race):
		return writeProblem(c, fiber.StatusConflict, "lost_race", err.Error(), true)
	case errors.As(err, &unknown):
		return writeProblem(c, fiber.StatusGatewayTimeout, "unknown", "the command may or may not be accepted; look at `show config` before repeating: "+err.Error(), false)
	case errors.As(err, &unavailable), errors.As(err, &budget), errors.As(err, &lost):
		return writeRefusal(c, fiber.StatusServiceUnavailable, "store_unavailable", "not accepted, as the key-value service does not answer; nothing has changed: "+err.Error(), time.Second)
	default:
		return writeProblem(c, fiber.StatusUnprocessableEntity, "refused", err.Error(), true)
	}
}

// showConfig returns the document in force here.
func (d *Daemon) showConfig(c *fiber.Ctx) error {
	doc := d.conf.InForce().Document
	if doc == nil {
		return writeProblem(c, fiber.StatusNotFound, "no_config", "no configuration is in force; apply one with `lentildeck config apply FILE`", true)
	}
	return c.JSON(doc)
}

func (d *Daemon) checkConfig(c *fiber.Ctx) error {
	doc, err := config.Parse(c.Body())
	if err == nil {
		err = doc.Validate(d.policy)
	}
	if err != nil {
		return d.writeCommandError(c, err)
	}
	return c.JSON(Message{Message: "the configuration is valid; all guarantees fit at once"})
}

// applyConfig replaces fleet and workspaces; drains stay as the operators' commands have set them.
func (d *Daemon) applyConfig(c *fiber.Ctx) error {
	requested, err := config.Parse(c.Body())
	if err != nil {
		return d.writeCommandError(c, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	doc, err := d.Apply(ctx, operatorOf(c), "config apply", func(doc *config.Document) error {
		if requested.Revision != 0 && requested.Revision != doc.Revision {
			return &config.RaceError{Command: "config apply", Winner: doc.Command, By: doc.By, Revision: doc.Revision}
		}
		doc.DataCentres, doc.Workspaces, doc.Admissions = requested.DataCentres, requested.Workspaces, requested.Admissions
		return nil
	})
	if err != nil {
		return d.writeCommandError(c, err)
	}
	return c.JSON(Message{Message: fmt.Sprintf("revision %d is accepted", doc.Revision)})
}

// Apply changes the configuration and hands it to all instances.
func (d *Daemon) Apply(ctx context.Context, by, command string, edit config.Edit) (*config.Document, error) {
	doc, err := d.conf.Apply(ctx, by, command, edit, d.now())
	if err != nil {
		return nil, err
	}
	d.log.Emit(event.ConfigInForce, event.Fields{"revision": doc.Revision, "command": command, "by": by, "source": config.FromStore.String(), "after": "0s"})
	d.offerToAll(ctx, doc)
	return doc, nil
}

// Cancel ends a job.
func (d *Daemon) Cancel(ctx context.Context, job string) error { return d.ledger.Cancel(ctx, job) }

// Admit lets a held job into the queue.
func (d *Daemon) Admit(ctx context.Context, job string) error { return d.ledger.Admit(ctx, job) }

// Now is the present time.
func (d *Daemon) Now() time.Time { return d.now() }

// Instances asks every entry instance for its state; a silent one is listed as such.
func (d *Daemon) Instances(ctx context.Context) []view.Instance {
	others := d.peers.others()
	answers := callAll(ctx, others, func(one context.Context, address string) (*link.StatusReply, error) {
		return d.peers.client.Status(one, address, &link.StatusRequest{From: d.settings.Instance})
	})
	rows := []view.Instance{instanceRow(d.status())}
	for i, answer := range answers {
		if answer == nil {
			rows = append(rows, view.Instance{Instance: others[i].Name, DataCentre: others[i].DataCentre, State: "no answer"})
			continue
		}
		rows = append(rows, instanceRow(answer))
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].Instance < rows[b].Instance })
	return rows
}

// ageUnit is how exactly ages are shown.
const ageResolution = 100 * time.Millisecond

func instanceRow(s *link.StatusReply) view.Instance {
	row := view.Instance{
		Instance: s.Instance, DataCentre: s.DataCentre, State: "serving", Revision: s.Revision, Source: s.Source,
		Age: s.Age.Round(ageResolution).String(), Owner: s.Owner, Store: "answers",
	}
	if s.Stopping {
		row.State = "stopping"
	}
	if s.ConfirmedAgo > maxProofAge {
		row.Store = "silent"
	}
	return row
}

// Snapshot gathers what all owners know; jobs that no owner reported are added from the ledger.
func (d *Daemon) Snapshot(ctx context.Context) (view.Snapshot, error) {
	var all view.Snapshot
	if own, ok := d.owner.Snapshot(); ok {
		mergeSnapshot(&all, own)
	}
	answers := callAll(ctx, d.peers.others(), func(one context.Context, address string) (*link.ViewReply, error) {
		return d.peers.client.View(one, address, &link.ViewRequest{From: d.settings.Instance})
	})
	for _, answer := range answers {
		if answer != nil && answer.Owner {
			mergeSnapshot(&all, answer.Snapshot)
		}
	}
	d.addWithoutOwner(&all)
	// Without the service the rows of the ledger are the last ones known here.
	_ = d.ledger.Load(ctx)
	d.addRecords(&all)
	all.Jobs = oneRowPerJob(all.Jobs)
	return all, nil
}

func mergeSnapshot(all *view.Snapshot, part view.Snapshot) {
	all.Jobs = append(all.Jobs, part.Jobs...)
	all.Workers = append(all.Workers, part.Workers...)
	all.DataCentres = append(all.DataCentres, part.DataCentres...)
	all.Guarantees = append(all.Guarantees, part.Guarantees...)
}

// addLost lists the data centres that no owner answered for.
func (d *Daemon) addWithoutOwner(all *view.Snapshot) {
	doc := d.conf.InForce().Document
	if doc == nil {
		return
	}
	for _, spec := range doc.DataCentres {
		found := false
		for _, row := range all.DataCentres {
			found = found || row.DataCentre == spec.Name
		}
		if !found {
			all.DataCentres = append(all.DataCentres, view.DataCentre{DataCentre: spec.Name, State: "no owner answers"})
		}
	}
}

// single keeps one row a job: the one of the owner that holds it, else one that says why it waits.
func oneRowPerJob(jobs []view.Job) []view.Job {
	sort.SliceStable(jobs, func(a, b int) bool {
		if jobs[a].Job != jobs[b].Job {
			return jobs[a].Job < jobs[b].Job
		}
		return len(jobs[a].Workers) > len(jobs[b].Workers)
	})
	kept := jobs[:0]
	for _, j := range jobs {
		if len(kept) == 0 || kept[len(kept)-1].Job != j.Job {
			kept = append(kept, j)
		}
	}
	return kept
}

func (d *Daemon) addRecords(all *view.Snapshot) {
	d.ledger.Each(func(r ledger.Record) {
		why := ""
		if r.Held {
			why = "held: its workspace's jobs need an operator's word; say `admit " + r.Job + "`"
		}
		phase := r.Phase
		if r.Open() && r.DataCentre == "" {
			phase = queue.Waiting
		}
		all.Jobs = append(all.Jobs, view.Job{
			Job: r.Job, Workspace: r.Workspace, Class: r.Class.String(), Phase: phase.String(), Outcome: view.OutcomeText(r.Outcome),
			DataCentre: r.DataCentre, Members: r.Members, Accelerators: r.Total().Accelerators, Within: r.Within.String(),
			Attempt: r.Attempt, Submitted: r.Submitted, Result: r.Result, Why: why,
		})
	})
}
