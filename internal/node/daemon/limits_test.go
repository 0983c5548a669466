package daemon

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/lentildeck/lentildeck/internal/edge/limit"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/node/setup"
	"gotest.tools/v3/assert"
)

// startApp serves the app on a bounded loopback listener and returns its URL.
func startApp(t *testing.T, app *fiber.App, bound func(net.Listener) net.Listener) string {
	t.Helper()
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- app.Listener(bound(raw)) }()
	t.Cleanup(func() {
		assert.Check(t, app.Shutdown())
		assert.Check(t, <-ended)
	})
	return "http://" + raw.Addr().String()
}

func post(t *testing.T, url string, length int) (int, string) {
	t.Helper()
	client := &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(strings.Repeat("x", length)))
	assert.NilError(t, err)
	response, err := client.Do(request)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode, string(body)
}

// Guards against bodies that are kept beyond the limits at the product's own listeners, and against operators' bodies that are received
// without a token.
func TestListenersReceiveBodiesWithinTheLimits(t *testing.T) {
	settings := setup.Default()
	settings.Quick.MaxBodyBytes = 2000
	settings.Operators.Token = "token-of-sixteen"
	d := &Daemon{
		settings: settings, log: event.Discard(), meters: meter.New(t.Name()), now: time.Now,
		guard: limit.NewGuard(limit.Derive(limit.Machine{}, maxOperatorBodyBytes), event.Discard(), time.Now),
	}
	app := newApp(settings.Quick.MaxBodyBytes)
	d.bound(app, "callers", settings.Quick.MaxBodyBytes)
	app.Post("/", func(c *fiber.Ctx) error { return c.Send(c.Body()) })
	url := startApp(t, app, d.guard.Callers)
	status, body := post(t, url, 2000)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, strings.Repeat("x", 2000))
	status, body = post(t, url, 2001)
	assert.Equal(t, status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, body, `{"code":"bodyTooLarge","message":"the body of the request was not accepted: bodyTooLarge","notRun":true}`)

	operators := startApp(t, d.operatorApp(), d.guard.Others("operators"))
	status, _ = post(t, operators+"/v1/config/check", 1000)
	assert.Equal(t, status, http.StatusUnauthorized)
	assert.Equal(t, d.guard.BodyBytes(), 0)
}
