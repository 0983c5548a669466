package daemon

import (
	"testing"

	"github.com/gofiber/fiber/v2"
	"github.com/lentildeck/lentildeck/internal/node/setup"
	"github.com/lentildeck/lentildeck/internal/route/quick"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// The HTTP library reuses the memory of a request for the next one on the connection. Keys of claims are kept for longer: if
// they changed, a repeated request would run again, or get another one's answer.
func TestRequestKeepsItsKeysAfterTheNextOne(t *testing.T) {
	d := &Daemon{settings: setup.Settings{}}
	app := newApp(1 << 10)
	var got quick.Request
	app.Post("/v1/quick/*", func(c *fiber.Ctx) (err error) {
		got, err = d.quickRequest(c)
		return err
	})
	var request fasthttp.RequestCtx
	request.Request.Header.SetMethod(fasthttp.MethodPost)
	request.Request.SetRequestURI("/v1/quick/count")
	request.Request.Header.Set(headerIdempotencyKey, "order-0001")
	request.Request.Header.Set(headerRequestID, "request-01")
	request.Request.SetBodyString("count 1")
	app.Handler()(&request)
	assert.Equal(t, request.Response.StatusCode(), fasthttp.StatusOK)
	request.Request.Header.Set(headerIdempotencyKey, "order-0002")
	request.Request.Header.Set(headerRequestID, "request-02")
	request.Request.SetBodyString("count 2")
	assert.Equal(t, got.Key, "order-0001")
	assert.Equal(t, got.ID, "request-01")
	assert.Equal(t, string(got.Body), "count 1")
}
