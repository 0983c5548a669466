package site

import (
	"fmt"
	"strings"
)

// Instance is what the settings file of one instance says about it.
type Instance struct {
	Name, DataCentre, IP string
	Front, Readiness     string
	FirstPort, LastPort  int
	StoreAddress         string
	Machines             Machines
	Bootstrap            bool
}

const settingsText = `nodeName = %q
role = "deck"
machineClass = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "region"
internalPorts = [%d,%d]
seeds = []
bootstrap = %t
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = %d
contracts = ["base","drain","config","cost","recover","sched","tenants","places","platform"]
orders = "rpc"
[zones]
%s[listen]
front = %q
readiness = %q
[limits]
cpuShare = %g
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = %d
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
contactMs = %d
ackMs = 6000
drainMs = %d
graceS = %d
configApplyMs = 3000
maxSkewMs = 6000
strictRevoke = true
revokeMs = %d
evacuateMs = %d
maxHoldMs = %d
stopTimeoutMs = %d
gangTimeoutMs = %d
cancel_ms = %d
visible_ms = 3000
finish_s = %d
status_s = 120
remoteFactor = 3
checkpointIntervalS = %g
restoreMs = %d
fencing = true
leaseMs = 3000
reclaimMs = %d
[platform]
address = %q
form = "kv"
writesPerS = %d
readsPerS = %d
historyS = %g
valueBytes = 1048576
minTtlMs = 1000
`

// Settings returns the text of an instance's settings file.
func (s Site) Settings(i Instance) string {
	var zones strings.Builder
	for _, dc := range s.DataCentres {
		fmt.Fprintf(&zones, "%s = \"region\"\n", dc)
	}
	return fmt.Sprintf(settingsText, i.Name, i.IP, i.DataCentre, i.FirstPort, i.LastPort, i.Bootstrap,
		s.Heartbeat.Milliseconds(), zones.String(), i.Front, i.Readiness, i.Machines.CPUShare,
		i.Machines.MemoryMB, i.Machines.Mbps, s.Contact.Milliseconds(), s.Drain.Milliseconds(),
		int(s.Grace.Seconds()), s.Revoke.Milliseconds(), s.Evacuate.Milliseconds(), s.MaxHold.Milliseconds(), s.StopTimeout.Milliseconds(),
		s.GangTimeout.Milliseconds(), s.Cancel.Milliseconds(), int(s.Finish.Seconds()), s.CheckpointEvery.Seconds(),
		s.Restore.Milliseconds(), s.Reclaim.Milliseconds(), i.StoreAddress, s.WritesPerS, s.ReadsPerS, s.History.Seconds())
}
