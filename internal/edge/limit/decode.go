package limit

import (
	"errors"
	"strings"

	"github.com/valyala/fasthttp"
)

// decoded are the encodings of bodies that are decoded; a body with another one is left to the handler.
var decoded = map[string]bool{"gzip": true, "br": true, "brotli": true, "deflate": true}

// decode replaces a compressed body by its content, of at most MaxBody bytes, or returns a *refusedError. The room for
// as much is taken before.
func (h *HTTP) decode(ctx *fasthttp.RequestCtx, claim *Claim) error {
	names := strings.Split(strings.ToLower(string(ctx.Request.Header.ContentEncoding())), ",")
	if !h.Decodes || !hasDecoded(names) {
		return nil
	}
	if len(names) > 1 {
		return &refusedError{reason: BadEncoding}
	}
	limit := h.MaxBody()
	if err := h.take(claim, h.Copies*limit+len(ctx.Request.Body())); err != nil {
		return err
	}
	body, err := uncompress(&ctx.Request, strings.TrimSpace(names[0]), limit)
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return &refusedError{reason: BodyTooLarge}
	case err != nil:
		return &refusedError{reason: BadEncoding}
	}
	ctx.Request.Header.Del(fasthttp.HeaderContentEncoding)
	ctx.Request.SetBodyRaw(body)
	return nil
}

func hasDecoded(names []string) bool {
	for _, name := range names {
		if decoded[strings.TrimSpace(name)] {
			return true
		}
	}
	return false
}

func uncompress(request *fasthttp.Request, encoding string, limit int) ([]byte, error) {
	switch encoding {
	case "gzip":
		return request.BodyGunzipWithLimit(limit)
	case "deflate":
		return request.BodyInflateWithLimit(limit)
	default:
		return request.BodyUnbrotliWithLimit(limit)
	}
}
