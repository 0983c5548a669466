package event

import (
	"fmt"

	"github.com/apex/log"
)

// Level is how much an event matters.
type Level = log.Level

// Kind is one numbered event.
type Kind struct {
	Number  int
	Name    string
	Level   Level
	Meaning string
}

// Fields are the values of one event.
type Fields map[string]any

// The events. Numbers are never used again.
var (
	Started          = define(100, "started", log.InfoLevel, "The daemon serves; the fields give its addresses.")
	Stopping         = define(101, "stopping", log.InfoLevel, "A planned stop began; readiness is off and nothing in flight is cut.")
	Stopped          = define(102, "stopped", log.InfoLevel, "Everything in flight has ended and the owner lease was handed back.")
	PartFailed       = define(103, "partFailed", log.ErrorLevel, "A part of the daemon ended with an error.")
	AcceptFailed     = define(105, "acceptFailed", log.WarnLevel, "A caller's channel could not be taken for want of descriptors; it is tried again. Logged once until one could be taken.")
	Routed           = define(200, "routed", log.DebugLevel, "A quick request was sent to a backend server; `why` gives the rule that chose it.")
	NotRouted        = define(201, "notRouted", log.InfoLevel, "A quick request got no whole answer; `error` says whether it may have run.")
	ServerSilent     = define(202, "serverSilent", log.WarnLevel, "A backend server did not answer a ping; its idle connections were closed and new ones are tried.")
	ClaimNotRecorded = define(203, "claimNotRecorded", log.WarnLevel, "The outcome of a non-idempotent request could not be recorded; a repeat is told that it may have run.")
	Submitted        = define(300, "submitted", log.InfoLevel, "A job was recorded.")
	Refused          = define(301, "refused", log.InfoLevel, "A job or request was refused; it did not run.")
	Placed           = define(302, "placed", log.InfoLevel, "A job was given workers; `why` gives the rule.")
	StopAsked        = define(303, "stopAsked", log.InfoLevel, "A running job was told to stop; `why` gives the cause.")
	JobEnded         = define(304, "jobEnded", log.InfoLevel, "A job ended; its outcome is recorded.")
	StartFailed      = define(305, "startFailed", log.WarnLevel, "Not every member of a gang could be started, so none runs; the job waits again.")
	Waits            = define(306, "waits", log.DebugLevel, "A decision left a job waiting; `why` gives the reason.")
	ClaimLost        = define(307, "claimLost", log.InfoLevel, "Another data centre took the job first.")
	OwnerTaken       = define(400, "ownerTaken", log.InfoLevel, "This instance decides for its data centre from now on, under the epoch.")
	OwnerLost        = define(401, "ownerLost", log.WarnLevel, "This instance no longer decides for its data centre.")
	OwnerReady       = define(402, "ownerReady", log.InfoLevel, "The new owner has heard from the workers and starts tasks.")
	WorkerLost       = define(403, "workerLost", log.WarnLevel, "A worker was silent for longer than its lease; what it held is lost.")
	WorkerBack       = define(404, "workerBack", log.InfoLevel, "A lost worker answers again.")
	PermitLost       = define(405, "permitLost", log.WarnLevel, "Nothing proves that the data centre is not drained, so no task starts.")
	PermitBack       = define(406, "permitBack", log.InfoLevel, "There is fresh proof again that the data centre is not drained.")
	ConfigInForce    = define(500, "configInForce", log.InfoLevel, "A higher revision of the configuration is in force on this instance.")
	ConfigBad        = define(501, "configBad", log.ErrorLevel, "A revision could not be used; the one before stays in force.")
	Commanded        = define(502, "commanded", log.InfoLevel, "An operator's command was carried out or refused.")
	StoreLost        = define(600, "storeLost", log.WarnLevel, "The key-value service does not answer.")
	StoreBack        = define(601, "storeBack", log.InfoLevel, "The key-value service answers again.")
	ListLost         = define(602, "listLost", log.WarnLevel, "The instance list could not be read; the last one stays in use.")
	ListBack         = define(604, "listBack", log.InfoLevel, "The list of workers could be read again.")
	Reloaded         = define(104, "reloaded", log.InfoLevel, "The settings file was read again after a signal.")
	Admitted         = define(310, "admitted", log.InfoLevel, "A caller handed a job in; `result` is what the caller was told, `why` the reason.")
	Cancelled        = define(311, "cancelled", log.InfoLevel, "A caller cancelled a job; `result` is what the caller was told.")
	Asked            = define(312, "asked", log.DebugLevel, "A caller asked for the state of a job or for a queue's pending count.")
	JobSeen          = define(313, "jobSeen", log.InfoLevel, "The owner took a job in, from a caller or from an earlier owner's records.")
	RunChanged       = define(314, "runChanged", log.InfoLevel, "The owner placed, stopped or lost a run, or a job is over; `what` and `why` give the decision.")
	StartSent        = define(315, "startSent", log.InfoLevel, "A worker answered the start of a task; `outcome` is its answer.")
	StopSent         = define(316, "stopSent", log.InfoLevel, "A worker answered the stop of a task; `outcome` is its answer.")
	CommitFailed     = define(317, "commitFailed", log.WarnLevel, "The records of jobs could not be written; they are written again.")
	Relayed          = define(318, "relayed", log.InfoLevel, "A request went to a peer, as the key-value service can't be reached from here; `result` is the peer's reply.")
	TellLost         = define(319, "tellLost", log.InfoLevel, "The owner could not be told of an accepted job; its watch of the key-value service shows it.")
	TermBegan        = define(410, "termBegan", log.InfoLevel, "This instance is the owner now; `token` fences off earlier owners.")
	TermEnded        = define(411, "termEnded", log.WarnLevel, "This instance is no longer the owner; `why` gives the cause.")
	TermLoaded       = define(412, "termLoaded", log.InfoLevel, "The new owner has read the records of all jobs.")
	WorkerSilent     = define(413, "workerSilent", log.WarnLevel, "A worker stopped answering; its tasks live until their lease ends.")
	WorkerAnswers    = define(414, "workerAnswers", log.InfoLevel, "A silent worker answers again.")
	WorkersListed    = define(415, "workersListed", log.InfoLevel, "The list of workers changed: one came, left, drains, or was born again.")
	DecisionSlow     = define(416, "decisionSlow", log.WarnLevel, "One decision of the owner took long, or the time between two decisions did; orders leave late meanwhile. `took` is the decision alone, `waited` the time since the one before, `visited` how many looks at workers its searches took, `commits` how many transactions are on their way.")
	LeasesKept       = define(417, "leasesKept", log.InfoLevel, "Leases of this data centre's workers are prolonged here, as the owner has fallen silent; `request` is its last one.")
	SubstituteChosen = define(418, "substituteChosen", log.InfoLevel, "An instance of another data centre may prolong the leases there on the owner's behalf.")
	PolicyInForce    = define(510, "policyInForce", log.InfoLevel, "A newer configuration is in force on this instance; or which data centres are evacuated has changed.")
	PolicyBad        = define(511, "policyBad", log.ErrorLevel, "A stored configuration or list entry could not be decoded; it is left out.")
	RecordBad        = define(603, "recordBad", log.ErrorLevel, "A stored value can't be understood; it was left as it is.")
)

var catalogue []Kind

func define(number int, name string, level Level, meaning string) Kind {
	kind := Kind{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogue = append(catalogue, kind)
	return kind
}

// Catalogue returns all events in the order of their numbers.
func Catalogue() []Kind { return append([]Kind(nil), catalogue...) }

// Markdown returns the catalogue as the page docs/LOGS.md.
func Markdown() string {
	page := "# Log events\n\nEvery line carries `event` (the number) and `name`. Lines of one event always have the same fields.\n\n| event | name | level | meaning |\n| --- | --- | --- | --- |\n"
	for _, kind := range catalogue {
		page += fmt.Sprintf("| %d | %s | %s | %s |\n", kind.Number, kind.Name, kind.Level, kind.Meaning)
	}
	return page
}

// Log writes events.
type Log struct {
	out log.Interface
}

// NewLog returns a log that writes to out.
func NewLog(out log.Interface) *Log { return &Log{out: out} }

// Discard returns a log that writes nothing.
func Discard() *Log {
	return &Log{out: &log.Logger{Handler: log.HandlerFunc(func(*log.Entry) error { return nil }), Level: log.FatalLevel}}
}

// Emit writes one event.
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

// For returns a log whose lines carry the instance's name.
func (l *Log) For(instance string) *Log { return &Log{out: l.out.WithField("instance", instance)} }
