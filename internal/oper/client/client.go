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

// callTimeout is the timeout of one HTTP call.
const callTimeout = 12 * time.Second

// Client is an HTTP client for one entry instance; it does not retry.
type Client struct {
	// OperatorsURL and CallersURL are base URLs without a path.
	OperatorsURL string
	CallersURL   string
	Token        string
	// Operator is recorded as the author of each command.
	Operator string
	http     *fasthttp.Client
}

// New returns a client; tlsConfig is nil for plain HTTP.
func New(operatorsURL, callersURL, token, operator string, tlsConfig *tls.Config) *Client {
	return &Client{
		OperatorsURL: operatorsURL, CallersURL: callersURL, Token: token, Operator: operator,
		http: &fasthttp.Client{TLSConfig: tlsConfig, NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1},
	}
}

// AnswerError is an error response of an instance.
type AnswerError struct {
	Status  int
	Code    string
	Message string
	// NotRun is true if the call certainly had no effect.
	NotRun bool
}

// Error returns the instance's message.
func (e *AnswerError) Error() string { return e.Message }

// call makes one HTTP call and decodes the JSON response into out.
func (c *Client) call(method, url string, body []byte, out any) error {
	request, reply := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(reply)
	request.Header.SetMethod(method)
	request.SetRequestURI(url)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.Token)
	request.Header.Set("X-Operator", c.Operator)
	request.SetBodyRaw(body)
	if err := c.http.DoTimeout(request, reply, callTimeout); err != nil {
		return fmt.Errorf("%s: %w", url, err)
	}
	if reply.StatusCode() >= fasthttp.StatusMultipleChoices {
		failure := &AnswerError{Status: reply.StatusCode(), Message: fmt.Sprintf("status %d", reply.StatusCode())}
		// If the body is not JSON, the message remains the status code.
		_ = json.Unmarshal(reply.Body(), failure)
		return failure
	}
	return json.Unmarshal(reply.Body(), out)
}

// Answer is the instance's response to a statement.
type Answer struct {
	Message string     `json:"message"`
	Rows    []exec.Row `json:"rows"`
	// Raw is the undecoded response body.
	Raw json.RawMessage `json:"-"`
}

// Execute sends one statement of the operators' language and returns the answer.
func (c *Client) Execute(line string) (Answer, error) {
	body, err := json.Marshal(exec.Request{Statement: line})
	if err != nil {
		return Answer{}, err
	}
	var answer Answer
	if err := c.call(fasthttp.MethodPost, c.OperatorsURL+"/v1/operator", body, &answer.Raw); err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(answer.Raw, &answer)
}

// Submit submits a job and returns its record.
func (c *Client) Submit(spec queue.Spec) (ledger.Record, error) {
	var record ledger.Record
	body, err := json.Marshal(spec)
	if err != nil {
		return record, err
	}
	err = c.call(fasthttp.MethodPost, c.CallersURL+"/v1/jobs", body, &record)
	return record, err
}

// Job returns a job's record.
func (c *Client) Job(name string) (ledger.Record, error) {
	var record ledger.Record
	err := c.call(fasthttp.MethodGet, c.CallersURL+"/v1/jobs/"+name, nil, &record)
	return record, err
}

// Config returns the active configuration.
func (c *Client) Config() (config.Document, error) {
	var doc config.Document
	err := c.call(fasthttp.MethodGet, c.OperatorsURL+"/v1/config", nil, &doc)
	return doc, err
}

// Check validates a configuration without applying it and returns the instance's message.
func (c *Client) Check(source []byte) (string, error) {
	return c.post(c.OperatorsURL+"/v1/config/check", source)
}

// Apply replaces the configuration and returns the instance's message.
func (c *Client) Apply(source []byte) (string, error) {
	return c.post(c.OperatorsURL+"/v1/config", source)
}

func (c *Client) post(url string, body []byte) (string, error) {
	var answer Answer
	err := c.call(fasthttp.MethodPost, url, body, &answer)
	return answer.Message, err
}

// Quick sends a quick request and returns the response body.
func (c *Client) Quick(path, id string, body []byte) (string, error) {
	request, reply := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(reply)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(c.CallersURL + "/v1/quick" + path)
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
