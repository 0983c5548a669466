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
	// maxOperatorBodyBytes bounds an operator's request; a whole configuration must fit.
	maxOperatorBodyBytes = 1 << 20
	// commandTimeout bounds one operator command.
	commandTimeout = 6 * time.Second
	// headerOperator carries the operator's name for the log and the configuration's history.
	headerOperator = "X-Operator"
)

// operatorApp serves commands, queries, configuration and metrics; all but /healthz require the token.
func (d *Daemon) operatorApp() *fiber.App {
	app := newApp(maxOperatorBodyBytes)
	app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok") })
	// The token is checked before any of the body is received.
	app.Use(d.authenticate)
	d.bound(app, "operators", maxOperatorBodyBytes)
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

// publish adds the metrics that are computed when they are read.
func (d *Daemon) publish() {
	d.meters.Publish("clientsRefused", d.guard.Refusals)
	d.meters.Publish("bodyBytes", d.guard.BodyBytes)
	d.meters.Publish("storeCalls", func() any { return d.storeCalls() })
	d.meters.Publish("quickWaiting", func() any { return d.pool.Waiting() })
	d.meters.Publish("epoch", func() any { return d.owner.Epoch() })
	d.meters.Publish("revision", func() any { return d.revision() })
}

// StoreCalls is the number of calls to the key-value store by class.
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

// operatorOf returns the name of the operator who sent the request, cut to maxNameLength.
func operatorOf(c *fiber.Ctx) string {
	name := c.Get(headerOperator, "operator")
	return strings.Clone(name[:min(len(name), maxNameLength)])
}

// runLine executes one statement of the operators' language.
func (d *Daemon) runLine(c *fiber.Ctx) error {
	var line exec.Request
	if err := json.Unmarshal(c.Body(), &line); err != nil {
		return writeProblem(c, fiber.StatusBadRequest, "bad_request", err.Error(), true)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	result, err := exec.Run(ctx, d, operatorOf(c), line.Statement)
	d.log.Emit(event.Commanded, event.Fields{"by": operatorOf(c), "line": line.Statement, "error": errorText(err)})
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

// writeCommandError responds to a failed command and states whether it had an effect.
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

// showConfig returns this instance's active configuration.
func (d *Daemon) showConfig(c *fiber.Ctx) error {
	doc := d.conf.Active().Document
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

// applyConfig replaces the fleet, the workspaces and the admissions; drains stay as the operators' commands set them.
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

// Apply changes the configuration and sends it to all instances.
func (d *Daemon) Apply(ctx context.Context, by, command string, edit config.Edit) (*config.Document, error) {
	doc, err := d.conf.Apply(ctx, by, command, edit, d.now())
	if err != nil {
		return nil, err
	}
	d.log.Emit(event.ConfigInForce, event.Fields{"revision": doc.Revision, "command": command, "by": by, "source": config.FromStore.String(), "after": "0s"})
	d.offerToAll(ctx, doc)
	return doc, nil
}

// Cancel cancels a job in the ledger.
func (d *Daemon) Cancel(ctx context.Context, job string) error { return d.ledger.Cancel(ctx, job) }

// Admit releases a held job to the queue.
func (d *Daemon) Admit(ctx context.Context, job string) error { return d.ledger.Admit(ctx, job) }

// Now returns the time of the instance's clock.
func (d *Daemon) Now() time.Time { return d.now() }

// Instances requests the state of every entry instance; one that does not respond is listed with the state "no answer".
func (d *Daemon) Instances(ctx context.Context) []view.Instance {
	others := d.peers.others()
	answers := callAll(ctx, others, func(callCtx context.Context, address string) (*link.StatusReply, error) {
		return d.peers.client.Status(callCtx, address, &link.StatusRequest{From: d.settings.Instance})
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

// ageResolution is the unit to which displayed ages are rounded.
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

// Snapshot merges the snapshots of all owners; jobs that no owner reported are added from the ledger.
func (d *Daemon) Snapshot(ctx context.Context) (view.Snapshot, error) {
	var all view.Snapshot
	if own, ok := d.owner.Snapshot(); ok {
		mergeSnapshot(&all, own)
	}
	answers := callAll(ctx, d.peers.others(), func(callCtx context.Context, address string) (*link.ViewReply, error) {
		return d.peers.client.View(callCtx, address, &link.ViewRequest{From: d.settings.Instance})
	})
	for _, answer := range answers {
		if answer != nil && answer.Owner {
			mergeSnapshot(&all, answer.Snapshot)
		}
	}
	d.addWithoutOwner(&all)
	// If the store is unavailable, the rows come from this instance's last copy of the ledger.
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

// addWithoutOwner adds the data centres for which no owner has responded.
func (d *Daemon) addWithoutOwner(all *view.Snapshot) {
	doc := d.conf.Active().Document
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

// oneRowPerJob keeps one row per job: that of the owner that holds it, or else the first, which has the reason for waiting.
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
