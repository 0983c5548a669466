package term_test

import (
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against explorations that can't be repeated: two runs of one world are the same.
func TestWorldsRepeatExactly(t *testing.T) {
	for name := range scenarios {
		assert.Equal(t, play(t, name, nil).digest(), play(t, name, nil).digest(), "%s", name)
	}
}

// Guards against explorations that can't be repeated after several faults.
func TestWorldsRepeatExactlyAfterSeveralFaults(t *testing.T) {
	for seed := range *exploreSeeds / 3 {
		name, faults := randomFaults(seed, allScenarios())
		first, second := play(t, name, faults).digest(), play(t, name, faults).digest()
		assert.Check(t, first == second, "seed %d: %s %v", seed, name, faults)
	}
}

func allScenarios() []string { return slices.Sorted(maps.Keys(scenarios)) }

// Guards against handovers that go wrong only after several faults. By hand, for more seeds:
// go test ./internal/node/term -run TestSeveralFaultsInASmallWorld -explore.first 1000 -explore.seeds 20000
func TestSeveralFaultsInASmallWorld(t *testing.T) {
	exploreRandomly(t, slices.DeleteFunc(allScenarios(), func(name string) bool { return name == "suspects" }))
}

// Guards against a probation that is forgotten after several faults.
func TestSeveralFaultsAroundASuspect(t *testing.T) { exploreRandomly(t, []string{"suspects"}) }

// Guards against tasks of a cancelled job that run on after a handover.
func TestHandoverAtEachStepOfACancel(t *testing.T) { explore(t, "cancel") }

// Guards against members of a cancelled gang that run on after a handover.
func TestHandoverAtEachStepOfACancelledGang(t *testing.T) { explore(t, "cancelled gang") }

// Guards against gangs of which a part runs alone, twice or never after a handover.
func TestHandoverAtEachStepOfAGang(t *testing.T) { explore(t, "gang") }

// Guards against tasks that are lost or run twice after a handover, as the owner was lost between the transactions that write one record.
func TestHandoverAtEachStepOfADividedRecord(t *testing.T) { explore(t, "divided") }

// Guards against tasks of a cancelled job that run on after a handover, though parts of its record do not show the cancel.
func TestHandoverAtEachStepOfACancelWithADividedRecord(t *testing.T) {
	explore(t, "divided and cancelled")
}

// Guards against jobs of a removed queue that stop after a handover, as the next owner has never seen the queue (review/5).
func TestHandoverAtEachStepAroundARemovedQueue(t *testing.T) { explore(t, "removed queue") }

// Guards against failures that a handover counts twice or forgets.
func TestHandoverAtEachStepOfAFailure(t *testing.T) { explore(t, "failure") }

// Guards against tasks that run on after a handover though another one has failed their job.
func TestHandoverAtEachStepOfAFailureBesideRunningTasks(t *testing.T) { explore(t, "failure beside") }

// Guards against starts in an evacuated data centre after a handover.
func TestHandoverAtEachStepOfAnEvacuation(t *testing.T) { explore(t, "evacuation") }

// Guards against starts on a draining worker after a handover, and runs there that are lost or started twice.
func TestHandoverAtEachStepOfADrain(t *testing.T) { explore(t, "drain") }

// Guards against preempted runs that go on or are lost after a handover.
func TestHandoverAtEachStepOfAPreemption(t *testing.T) { explore(t, "preemption") }

// Guards against a task that crashes its workers beyond its budget, as a handover forgets crashes.
func TestHandoverAtEachStepOfADeadlyTask(t *testing.T) { explore(t, "deadly") }

// Guards against tasks placed beside one that may crash its worker, as a handover forgets its probation.
func TestHandoverAtEachStepOfASuspect(t *testing.T) { explore(t, "suspects") }

// Guards against two runs of a task, or none, when its worker restarts around a handover.
func TestHandoverAtEachStepOfAWorkerRestart(t *testing.T) { explore(t, "restart") }
