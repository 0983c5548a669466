package event

import (
	"fmt"

	"github.com/apex/log"
)

// Level is the severity of an event.
type Level = log.Level

// Kind describes one kind of event: its number, its name, its level and what it means.
type Kind struct {
	Number  int
	Name    string
	Level   Level
	Meaning string
}

// Fields holds the values of one event by their keys.
type Fields map[string]any

// The kinds of events. The number of a removed kind is never reused.
var (
	Started          = define(100, "started", log.InfoLevel, "The daemon is ready to serve; the fields give its addresses.")
	Stopping         = define(101, "stopping", log.InfoLevel, "A planned stop began: the readiness check fails from now on, and requests in progress are completed.")
	Stopped          = define(102, "stopped", log.InfoLevel, "All requests in progress have ended and the owner lease was released.")
	PartFailed       = define(103, "partFailed", log.ErrorLevel, "A component of the process ended with an error.")
	AcceptFailed     = define(105, "acceptFailed", log.WarnLevel, "A caller's connection could not be accepted, for lack of file descriptors or because the caller closed it first; accepting is retried. Logged once until a connection is accepted again.")
	ClientsRefused   = define(106, "clientsRefused", log.WarnLevel, "Requests of clients were refused, or connections closed, to keep the process within its memory and descriptors; `listener` and `reason` tell which and why, `count` how many since the last line for both, `total` in all. Logged at most once in ten seconds for both.")
	Routed           = define(200, "routed", log.DebugLevel, "A quick request was sent to a backend server; `why` gives the rule that chose it.")
	NotRouted        = define(201, "notRouted", log.InfoLevel, "A quick request got no complete response; `error` says whether it may have run.")
	ServerSilent     = define(202, "serverSilent", log.WarnLevel, "A backend server did not answer a ping; its idle connections were closed and new ones will be opened.")
	ClaimNotRecorded = define(203, "claimNotRecorded", log.WarnLevel, "The outcome of a non-idempotent request could not be recorded; a repeat of it is answered that it may have run.")
	Submitted        = define(300, "submitted", log.InfoLevel, "A job was recorded.")
	Refused          = define(301, "refused", log.InfoLevel, "A job or request was refused; it did not run.")
	Placed           = define(302, "placed", log.InfoLevel, "Workers were assigned to a job; `why` gives the rule.")
	StopAsked        = define(303, "stopAsked", log.InfoLevel, "The stop of a running job was ordered; `why` gives the cause.")
	JobEnded         = define(304, "jobEnded", log.InfoLevel, "A job ended and its outcome is recorded.")
	StartFailed      = define(305, "startFailed", log.WarnLevel, "Not every member of a gang could be started, so none runs; the job returns to the queue.")
	Waits            = define(306, "waits", log.DebugLevel, "A job still waits after a decision; `why` gives the reason.")
	ClaimLost        = define(307, "claimLost", log.InfoLevel, "Another data centre claimed the job first.")
	OwnerTaken       = define(400, "ownerTaken", log.InfoLevel, "This instance became the owner of its data centre, with the logged epoch.")
	OwnerLost        = define(401, "ownerLost", log.WarnLevel, "This instance is no longer the owner of its data centre.")
	OwnerReady       = define(402, "ownerReady", log.InfoLevel, "The new owner has learned the state of the workers and begins to start tasks.")
	WorkerLost       = define(403, "workerLost", log.WarnLevel, "A worker did not respond for longer than its lease; the tasks on it are lost.")
	WorkerBack       = define(404, "workerBack", log.InfoLevel, "A lost worker responds again.")
	PermitLost       = define(405, "permitLost", log.WarnLevel, "It can't be confirmed that the data centre is not drained, so no task starts.")
	PermitBack       = define(406, "permitBack", log.InfoLevel, "It is confirmed again that the data centre is not drained.")
	ConfigInForce    = define(500, "configInForce", log.InfoLevel, "A higher revision of the configuration became active on this instance.")
	ConfigBad        = define(501, "configBad", log.ErrorLevel, "A revision of the configuration could not be used; the previous one stays active.")
	Commanded        = define(502, "commanded", log.InfoLevel, "An operator's command was executed or refused.")
	StoreLost        = define(600, "storeLost", log.WarnLevel, "The key-value store does not respond.")
	StoreBack        = define(601, "storeBack", log.InfoLevel, "The key-value store responds again.")
	ListLost         = define(602, "listLost", log.WarnLevel, "A list of instances or workers could not be read; the last known one stays in use.")
	ListBack         = define(604, "listBack", log.InfoLevel, "A list of instances or workers could be read again.")
	Reloaded         = define(104, "reloaded", log.InfoLevel, "The settings file was read again after a signal.")
	Admitted         = define(310, "admitted", log.InfoLevel, "A caller submitted a job; `result` is the result returned to the caller, `why` the reason.")
	Cancelled        = define(311, "cancelled", log.InfoLevel, "A caller cancelled a job; `result` is the result returned to the caller.")
	Asked            = define(312, "asked", log.DebugLevel, "A caller requested the state of a job or the number of pending jobs of a queue.")
	JobSeen          = define(313, "jobSeen", log.InfoLevel, "The owner loaded a job, either a new one or one from an earlier owner's records; its objective is `stretch` times its longest chain of work, plus `target`; `service` is that of the workers that run it, empty if its queue is not known. `inherited` counts the tasks that an earlier owner may have left running.")
	RunChanged       = define(314, "runChanged", log.InfoLevel, "The owner placed, stopped or lost a run or holds it as its worker is silent, a job waits or ended, or a worker has restarted, was replaced by another, crashed under a task, has more exits than it lists at a time (`exitsPending`) or had listed an exit to an earlier owner (`exitHeard`); `what`, `cause` and `why` give the decision, the other fields its inputs: `waited` since the task group was ready, `coreSeconds` of work that is discarded, `for` the job that gets the room, `overdue` how late the end was known because the worker was silent, `remaining` the time until a held run counts as dead, `speed` that of the slowest worker, `born` and `previous` a worker's incarnations after and before a restart, or its present one and the one that listed the exit, `crashes` how many workers have crashed under the task, `suspected` how many of these crashes it may have caused.")
	StartSent        = define(315, "startSent", log.InfoLevel, "An order to start a task was sent; `outcome` is the worker's answer or the error of the call, `mayHaveArrived` whether an order without an answer may have reached the worker, `born` the worker's incarnation as last seen before the order, which a later one may have executed.")
	StopSent         = define(316, "stopSent", log.InfoLevel, "An order to stop a task was sent; `outcome` is the worker's answer or the error of the call, `born` the worker's incarnation as last seen before the order.")
	CommitFailed     = define(317, "commitFailed", log.WarnLevel, "The records of jobs could not be written; the write is retried. `changes` counts the records and parts in the transaction, `largest` is the key of the largest value in the transaction, `bytes` its size.")
	Relayed          = define(318, "relayed", log.InfoLevel, "A request was forwarded to a peer, as this instance can't reach the key-value store; `result` is the peer's reply.")
	TellLost         = define(319, "tellLost", log.InfoLevel, "The owner could not be notified of an accepted job; it learns of the job from its watch of the key-value store.")
	JobRecorded      = define(320, "jobRecorded", log.InfoLevel, "A record of an ended job is durable; it may be written again when its last tasks have stopped.")
	JobShown         = define(321, "jobShown", log.InfoLevel, "A caller was shown the final state of a job.")
	RecordRejected   = define(322, "recordRejected", log.ErrorLevel, "The store does not accept the record of a job, which is written again after `retryIn`; other jobs are not affected. `key` is that of the value, `bytes` its size, `limit` the size of the largest value that the settings allow. Without a delay the record is divided further.")
	TermBegan        = define(410, "termBegan", log.InfoLevel, "This instance became the owner; `token` is the fencing token that shuts out earlier owners.")
	TermEnded        = define(411, "termEnded", log.WarnLevel, "This instance is no longer the owner; `why` gives the cause.")
	TermLoaded       = define(412, "termLoaded", log.InfoLevel, "The new owner has read the records of all jobs. `inheritedTasks` counts the tasks that an earlier owner may have left running, `inheritedWorkers` the workers of these tasks, and `inheritedFor` is the longest time for which they count as alive if their workers do not answer.")
	WorkerSilent     = define(413, "workerSilent", log.WarnLevel, "A worker stopped responding; its tasks run until their lease expires.")
	WorkerAnswers    = define(414, "workerAnswers", log.InfoLevel, "An unresponsive worker responds again.")
	WorkersListed    = define(415, "workersListed", log.InfoLevel, "The list of workers changed: a worker was added, removed, set to draining or restarted, or its capacity (`milliCores`, `memoryMB`, `accelerators`) has changed.")
	DecisionSlow     = define(416, "decisionSlow", log.WarnLevel, "A decision of the owner took long, or the time between two decisions was long, so orders were sent late. `took` is the duration of the decision alone, `waited` the time since the previous one, `visited` the number of workers examined by its searches, counted each time, `commits` the number of transactions in progress.")
	LeasesKept       = define(417, "leasesKept", log.InfoLevel, "This instance extends the leases of the workers of its data centre, as the owner is silent; `request` is the number of the owner's last request.")
	SubstituteChosen = define(418, "substituteChosen", log.InfoLevel, "An instance of another data centre was chosen as its lease proxy: it may extend the leases there on the owner's behalf.")
	RackListed       = define(419, "rackListed", log.InfoLevel, "The workers of one rack and service that a new owner has found in the list; `milliCores`, `memoryMB` and `accelerators` are those of the first worker.")
	JobStands        = define(420, "jobStands", log.WarnLevel, "A job has had nothing running for `lasted`, three seconds or more, though a task could run; logged at most once a second, one job for each cause, and `others` counts the further jobs. `state` is what `task` waits for: a run on a lost worker that may be alive (`held`), a stop (`stopping`) or start (`ordered`) without an acknowledgement, the listing of a worker with a run of an earlier owner (`inherited`), a record that the store has rejected (`rejected`) or that is not durable (`planned`), the return to workers on which it failed (`retry`), room that is reserved for it (`reserved`), or room (`withoutRoom`). `worker` is the one concerned, `remaining` the time until the state ends at the latest, `why` what holds the run or the last reason of a wait. `ready` task groups could run, `same` of them in this state, and `behind` steps wait for others. Of the `workers` with the right service and label, `open` may get the task, and `leftOut` counts the others by cause; `avoidedFor` is the time until the first avoided one is open again. The open ones have the room `used`, `free`, `reserved` and `backfill` (reserved for gangs as runs end), and `fits` tasks have room beside the reservations. `mayStart` is false if the owner may start nothing at all.")
	StartsForbidden  = define(421, "startsForbidden", log.WarnLevel, "The owner has not been allowed to start any task for `lasted`; logged again each second. `by` lists what forbids it: the owner's `lease`, the `configuration` or the `list` of workers, whose age has reached its limit, or the `load` of the records, which has not ended. The other fields are these ages and limits.")
	StartsAllowed    = define(422, "startsAllowed", log.InfoLevel, "The owner may start tasks again, after `startsForbidden`; `lasted` is how long it might not.")
	LeasesInherited  = define(424, "leasesInherited", log.InfoLevel, "A new owner asked the instance `from`, the owner before it, which leases on workers that one has granted, or read it from the record of leases (`from` is `record`); until these have expired, tasks on workers that don't answer count as alive. `workers` counts the workers of which their own time was reported, `others` is the time for the rest, `exits` counts the exits that it had heard of and not recorded. With `error` the longest possible leases count from the beginning of the term.")
	ExitsLeft        = define(425, "exitsLeft", log.InfoLevel, "The owner could not record exits for a while and left them with other instances, so that they reach the next owner if this one is lost and their workers too; `exits` counts them, `keepers` the instances that have them, `unreached` those that do not.")
	ExitsCollected   = define(426, "exitsCollected", log.InfoLevel, "A new owner collected the exits that owners before it have left with other instances; `exits` counts them, `unreached` the instances that did not answer.")
	EndKept          = define(427, "endKept", log.InfoLevel, "A job has ended and its record is not durable; `keepers` other instances keep its `exits`, so callers are told of the end.")
	PolicyInForce    = define(510, "policyInForce", log.InfoLevel, "A newer configuration became active on this instance, or the set of evacuated data centres changed.")
	PolicyBad        = define(511, "policyBad", log.ErrorLevel, "A stored configuration or list entry could not be decoded or is out of bounds; logged once for each revision of its `key`, at most 20 lines. `field` and `value` (shortened) are what was found, `action` what was done: `entryRefused` (the worker gets nothing new; what runs there runs on) `configKept` (the last good configuration stays active) or `partsIgnored` (the rest of the configuration became active; a number out of bounds counts as the nearest bound).")
	RecordBad        = define(603, "recordBad", log.ErrorLevel, "A stored value could not be decoded; it was left unchanged.")
)

var catalogue []Kind

func define(number int, name string, level Level, meaning string) Kind {
	kind := Kind{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogue = append(catalogue, kind)
	return kind
}

// Catalogue returns all kinds of events in the order of their definition.
func Catalogue() []Kind { return append([]Kind(nil), catalogue...) }

// Markdown returns the catalogue as Markdown: the content of docs/LOGS.md.
func Markdown() string {
	page := "# Log events\n\nEvery line is a JSON object with `timestamp`, `level`, `message` (the event's name) and `fields`. Among the fields, `event` is the " +
		"event's number; the others depend on the event and on what is known.\n\n| event | name | level | meaning |\n| --- | --- | --- | --- |\n"
	for _, kind := range catalogue {
		page += fmt.Sprintf("| %d | %s | %s | %s |\n", kind.Number, kind.Name, kind.Level, kind.Meaning)
	}
	return page
}

// Log writes events to a logger.
type Log struct {
	out log.Interface
}

// NewLog returns a log that writes to out.
func NewLog(out log.Interface) *Log { return &Log{out: out} }

// Discard returns a log that writes nothing.
func Discard() *Log {
	return &Log{out: &log.Logger{Handler: log.HandlerFunc(func(*log.Entry) error { return nil }), Level: log.FatalLevel}}
}

// Emit writes one event at the level of its kind.
func (l *Log) Emit(kind Kind, fields Fields) {
	entry := l.out.WithFields(log.Fields(fields)).WithField("event", kind.Number)
	switch kind.Level {
	case log.DebugLevel:
		entry.Debug(kind.Name)
	case log.InfoLevel:
		entry.Info(kind.Name)
	case log.WarnLevel:
		entry.Warn(kind.Name)
	default:
		entry.Error(kind.Name)
	}
}

// For returns a log that adds the instance's name to each line.
func (l *Log) For(instance string) *Log { return &Log{out: l.out.WithField("instance", instance)} }
