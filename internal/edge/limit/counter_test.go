package limit

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"gotest.tools/v3/assert"
)

// Guards against logs that a crowd can fill.
func TestRefusalsAreLoggedAtABoundedRate(t *testing.T) {
	var lines []string
	handler := log.HandlerFunc(func(e *log.Entry) error {
		lines = append(lines, fmt.Sprint(e.Message, e.Fields.Get("listener"), e.Fields.Get("reason"), e.Fields.Get("count"), e.Fields.Get("total")))
		return nil
	})
	c := &counter{log: event.NewLog(&log.Logger{Handler: handler}), counts: make(map[counterKey]*count)}
	for range 1000 {
		c.add("callers", NoRoom, start)
	}
	c.add("callers", BodyTooLarge, start)
	c.add("callers", NoRoom, start.Add(logInterval))
	assert.DeepEqual(t, lines, []string{
		"clientsRefusedcallersnoRoom1 1", "clientsRefusedcallersbodyTooLarge1 1", "clientsRefusedcallersnoRoom1000 1001",
	})
	assert.DeepEqual(t, c.snapshot(), map[string]map[string]int64{"callers": {"noRoom": 1001, "bodyTooLarge": 1}})
}

// Guards against reasons in logs and metrics that operators do not find on their page.
func TestPageOfOperationsHasEveryReason(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	for _, reason := range ReasonValues() {
		assert.Assert(t, strings.Contains(string(page), "| `"+reason.String()+"` |"), reason.String())
	}
}
