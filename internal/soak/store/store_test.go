package store_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/store"
	"gotest.tools/v3/assert"
)

// answer has the fields of all responses.
type answer struct {
	Status   int
	Value    []byte
	Revision int64
	Lease    int64
	AsOf     int64
	Items    []struct{ Key string }
	Events   []struct{ Key string }
}

func newStore(t *testing.T) (*store.Store, *store.Port) {
	t.Helper()
	s := store.New(store.Limits{WritesPerS: 100, ReadsPerS: 100, History: time.Minute})
	t.Cleanup(s.Close)
	return s, s.Port("one", 0, 1)
}

func call(t *testing.T, p *store.Port, method, path string, body any) answer {
	t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	w := httptest.NewRecorder()
	p.ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(data)))
	a := answer{Status: w.Code}
	if w.Body.Len() > 0 {
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &a))
	}
	return a
}

func put(t *testing.T, p *store.Port, key string, revision, lease int64) answer {
	t.Helper()
	return call(t, p, "POST", "/kv-txn", map[string]any{
		"expected": []map[string]any{{"key": key, "revision": revision}}, "writes": []map[string]any{{"key": key, "value": []byte("v"), "lease": lease}},
	})
}

func TestTransactionsHoldTheirConditions(t *testing.T) {
	_, p := newStore(t)
	first := put(t, p, "a", 0, 0)
	assert.Equal(t, first.Status, http.StatusOK)
	refused := put(t, p, "a", 0, 0)
	assert.Equal(t, refused.Status, http.StatusPreconditionFailed)
	assert.Equal(t, refused.Items[0].Key, "a")
	assert.Equal(t, put(t, p, "a", first.Revision, 0).Status, http.StatusOK)
	assert.Equal(t, put(t, p, "op/config", 0, 0).Status, http.StatusForbidden)
	assert.Equal(t, put(t, p, "b", 0, 99).Status, http.StatusNotFound)
	assert.Equal(t, string(call(t, p, "GET", "/kv-key?key=a", nil).Value), "v")
}

func TestLeaseEndsWithItsKeys(t *testing.T) {
	_, p := newStore(t)
	lease := call(t, p, "POST", "/kv-lease", map[string]int{"ttlMs": 1000}).Lease
	written := put(t, p, "owner", 0, lease)
	assert.Equal(t, written.Status, http.StatusOK)
	got := call(t, p, "GET", "/kv-watch?prefix=owner&waitMs=5000&after="+jsonNumber(written.Revision), nil)
	assert.Equal(t, got.Events[0].Key, "owner")
	assert.Equal(t, call(t, p, "GET", "/kv-key?key=owner", nil).Status, http.StatusNotFound)
	assert.Equal(t, call(t, p, "POST", "/kv-keep/"+jsonNumber(lease), nil).Status, http.StatusNotFound)
}

func jsonNumber(n int64) string {
	data, _ := json.Marshal(n)
	return string(data)
}

func TestDroppedHistoryIsGone(t *testing.T) {
	s, p := newStore(t)
	first := put(t, p, "a", 0, 0)
	put(t, p, "b", 0, 0)
	s.Compact()
	assert.Equal(t, call(t, p, "GET", "/kv-watch?prefix=&waitMs=0&after="+jsonNumber(first.Revision), nil).Status, http.StatusGone)
}

func TestCallsBeyondTheRateAreRefused(t *testing.T) {
	_, p := newStore(t)
	refused := 0
	for range 150 {
		if call(t, p, "GET", "/kv-range?prefix=", nil).Status == http.StatusTooManyRequests {
			refused++
		}
	}
	assert.Equal(t, refused > 0, true)
	assert.Equal(t, call(t, p, "GET", "/kv-range?prefix=&serializable=1", nil).Status, http.StatusOK)
}
