// Command standin3 plays the cases of the third review: stand-ins of the platform's store, the runners, the operator and the clients around
// the project's own processes.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func() bool{}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE")
		os.Exit(2)
	}
	broken := cases[os.Args[1]]()
	cleanup()
	if broken {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

// The bounds of the site file sites/perimetros-grid.toml, as SYSTEM.md lists them.
const perimetros = `seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
backMs = 250
maxSkewMs = 5000
strictRevoke = true
revokeMs = 5000
coldExcess = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
maxHoldMs = 6000
stopTimeoutMs = 400
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 3
checkpointIntervalS = 2
restoreMs = 250
noticeMs = 4500
migrateS = 1.5
maintenanceS = 2
fencing = true
leaseMs = 3000
thawMs = 300
paceMs = 100
impactMs = 4000
reclaimMs = 2900
`
