package client

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"time"

	"github.com/lentildeck/lentildeck/internal/oper/exec"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/state/config"
	"github.com/lentildeck/lentildeck/internal/state/ledger"
	"github.com/valyala/fasthttp"
)

// callTimeout bounds one call.
const callTimeout = 12 * time.Second

// Client calls one entry instance.
type Client struct {
	// Operators and Callers are URLs without a path.
	Operators string
	Callers   string
	Token     string
	// Name tells others who gave a command.
	Name string
	http *fasthttp.Client
}

// New returns a client; keys is nil for plain HTTP.
func New(operators, callers, token, name string, keys *tls.Config) *Client {
	return &Client{
		Operators: operators, Callers: callers, Token: token, Name: name,
		http: &fasthttp.Client{TLSConfig: keys, NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1},
	}
}

// AnswerError is a refusal or failure that the instance has answered.
type AnswerError struct {
	Status  int
	Code    string
	Message string
	// NotRun is true if the call surely had no effect.
	NotRun bool
}

// Error returns the instance's message.
func (e *AnswerError) Error() string { return e.Message }

// call makes one call and decodes the answer into out.
func (c *Client) call(method, url string, body []byte, out any) error {
	request, reply := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(reply)
	request.Header.SetMethod(method)
	request.SetRequestURI(url)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.Token)
	request.Header.Set("X-Operator", c.Name)
	request.SetBodyRaw(body)
	if err := c.http.DoTimeout(request, reply, callTimeout); err != nil {
		return fmt.Errorf("%s: %w", url, err)
	}
	if reply.StatusCode() >= fasthttp.StatusMultipleChoices {
		failure := &AnswerError{Status: reply.StatusCode(), Message: fmt.Sprintf("status %d", reply.StatusCode())}
		// A body that is no JSON leaves the status as the message.
		_ = json.Unmarshal(reply.Body(), failure)
		return failure
	}
	return json.Unmarshal(reply.Body(), out)
}

// Answer is the result of a statement as the instance sends it.
type Answer struct {
	Message string     `json:"message"`
	Rows    []exec.Row `json:"rows"`
	// Raw is the answer as it came.
	Raw json.RawMessage `json:"-"`
}

// Line carries out one statement of the operators' language.
func (c *Client) Line(line string) (Answer, error) {
	body, err := json.Marshal(exec.Line{Line: line})
	if err != nil {
		return Answer{}, err
	}
	var answer Answer
	if err := c.call(fasthttp.MethodPost, c.Operators+"/v1/operator", body, &answer.Raw); err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(answer.Raw, &answer)
}

// Submit hands in a job.
func (c *Client) Submit(spec queue.Spec) (ledger.Record, error) {
	var record ledger.Record
	body, err := json.Marshal(spec)
	if err != nil {
		return record, err
	}
	err = c.call(fasthttp.MethodPost, c.Callers+"/v1/jobs", body, &record)
	return record, err
}

// Job returns a job's record.
func (c *Client) Job(name string) (ledger.Record, error) {
	var record ledger.Record
	err := c.call(fasthttp.MethodGet, c.Callers+"/v1/jobs/"+name, nil, &record)
	return record, err
}

// Config returns the configuration in force.
func (c *Client) Config() (config.Document, error) {
	var doc config.Document
	err := c.call(fasthttp.MethodGet, c.Operators+"/v1/config", nil, &doc)
	return doc, err
}

// Check asks whether a configuration would be accepted.
func (c *Client) Check(source []byte) (string, error) {
	return c.message(c.Operators+"/v1/config/check", source)
}

// Apply replaces the configuration.
func (c *Client) Apply(source []byte) (string, error) {
	return c.message(c.Operators+"/v1/config", source)
}

func (c *Client) message(url string, body []byte) (string, error) {
	var answer Answer
	err := c.call(fasthttp.MethodPost, url, body, &answer)
	return answer.Message, err
}

// Quick sends a quick request and returns the answer's body.
func (c *Client) Quick(path, id string, body []byte) (string, error) {
	request, reply := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(reply)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(c.Callers + "/v1/quick" + path)
	request.Header.Set("X-Request-Id", id)
	request.SetBodyRaw(body)
	if err := c.http.DoTimeout(request, reply, callTimeout); err != nil {
		return "", err
	}
	if reply.StatusCode() != fasthttp.StatusOK {
		return "", &AnswerError{Status: reply.StatusCode(), Message: string(reply.Body())}
	}
	return string(reply.Body()), nil
}
