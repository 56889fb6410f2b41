// Package ctl implements lapisctl, the operators' command line: it runs commands of the query
// language against a daemon and prints the answers.
//
// The package owns one HTTP client, reads proposal and token files, and stores nothing. It uses
// package query for the language and the conditions, and the operators' interface of any daemon
// (package operator).
//
// Invariants: all attempts at a change use the same operation id; a failure is printed with its
// result codes.
package ctl

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/lapisvane/lapisvane/internal/operators/opapi"
	"github.com/lapisvane/lapisvane/internal/operators/query"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// maxAttempts is the maximum number of attempts at a change while its outcome is unknown. After that
// the operator may repeat the command.
const maxAttempts = 3

// Client sends commands to the operators' interface of one daemon. It is safe for
// concurrent use.
type Client struct {
	// Address is IP:port.
	Address string
	Token   string
	HTTP    *http.Client
}

// NewClient returns a client of the daemon at address.
func NewClient(address, token string) *Client {
	return &Client{Address: address, Token: token, HTTP: &http.Client{}}
}

// Run executes one command. Errors: OperatorBadCommand, ConfigUnreadable for a proposal file that
// cannot be read, OperatorOutcomeUnknown without a complete answer, and a *result.List of the faults
// that the daemon reported.
func (c *Client) Run(ctx context.Context, command *query.Command) (*opapi.Table, error) {
	switch {
	case command.Show != nil:
		return c.show(ctx, command.Show)
	case command.Propose != nil:
		return c.propose(ctx, opapi.PathPropose, command.Propose.Path)
	case command.Validate != nil:
		return c.propose(ctx, opapi.PathValidate, command.Validate.Path)
	case command.Diff != nil:
		return c.diff(ctx, command.Diff)
	case command.Accept != nil:
		return c.change(ctx, opapi.PathAccept, opapi.AcceptRequest{Proposal: command.Accept.Proposal})
	case command.Backend != nil:
		return c.change(ctx, opapi.PathBackend, opapi.BackendRequest{
			OperationID: newOperationID(), Action: opapi.Action(command.Backend.Action), Backend: command.Backend.Backend,
		})
	case command.Wait != nil:
		return c.wait(ctx, command.Wait)
	default:
		return &opapi.Table{Notes: []string{query.HelpText}}, nil
	}
}

// operationIDLength is the number of random characters of an operation id, 5 bits each: the
// probability that any two of a million ids are equal is 4 in 10 million.
const operationIDLength = 12

// newOperationID returns a random id, which all attempts at one command share.
func newOperationID() string { return "p-" + rand.Text()[:operationIDLength] }

func (c *Client) show(ctx context.Context, show *query.Show) (*opapi.Table, error) {
	table := &opapi.Table{}
	if err := c.send(ctx, http.MethodGet, opapi.PathShow, url.Values{"what": {show.Kind}}, nil, table); err != nil {
		return nil, err
	}
	return query.Filter(table, show.Conditions)
}

func (c *Client) diff(ctx context.Context, diff *query.Diff) (*opapi.Table, error) {
	values := url.Values{"from": {strconv.FormatUint(diff.From, 10)}, "to": {strconv.FormatUint(diff.To, 10)}}
	table := &opapi.Table{}
	return table, c.send(ctx, http.MethodGet, opapi.PathDiff, values, nil, table)
}

func (c *Client) wait(ctx context.Context, wait *query.WaitFor) (*opapi.Table, error) {
	limit := opapi.DefaultWait
	if wait.Limit != "" {
		parsed, err := time.ParseDuration(wait.Limit)
		if err != nil {
			return nil, result.Wrap(result.OperatorBadCommand, err, "the duration")
		}
		limit = parsed
	}
	values := url.Values{"revision": {strconv.FormatUint(wait.Revision, 10)}, "timeout": {limit.String()}}
	ctx, cancel := context.WithTimeout(ctx, limit+opapi.ClientTimeout)
	defer cancel()
	table := &opapi.Table{}
	return table, c.send(ctx, http.MethodGet, opapi.PathWait, values, nil, table)
}

func (c *Client) propose(ctx context.Context, path, file string) (*opapi.Table, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, result.Wrap(result.ConfigUnreadable, err, "reading the proposal")
	}
	answer := &opapi.ProposeAnswer{}
	request := opapi.ProposeRequest{OperationID: newOperationID(), File: string(content)}
	if path == opapi.PathValidate {
		request.OperationID = ""
	}
	if err := c.sendWithRetry(ctx, path, request, answer); err != nil {
		return nil, err
	}
	return &opapi.Table{
		Columns: []opapi.Column{{Name: "proposal"}, {Name: "base_revision", Numeric: true}, {Name: "changes", Numeric: true}},
		Rows:    [][]string{{answer.Proposal, strconv.FormatUint(answer.BaseRevision, 10), strconv.Itoa(answer.Changes)}},
	}, nil
}

func (c *Client) change(ctx context.Context, path string, request any) (*opapi.Table, error) {
	answer := &opapi.AcceptAnswer{}
	if err := c.sendWithRetry(ctx, path, request, answer); err != nil {
		return nil, err
	}
	return &opapi.Table{
		Columns: []opapi.Column{{Name: "revision", Numeric: true}},
		Rows:    [][]string{{strconv.FormatUint(answer.Revision, 10)}},
	}, nil
}

// sendWithRetry sends a change and repeats it while its outcome is unknown, with at most maxAttempts
// attempts. The operation id makes the change take effect once.
func (c *Client) sendWithRetry(ctx context.Context, path string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return result.Wrap(result.OperatorRequestMalformed, err, "encoding the request")
	}
	for attempt := 1; ; attempt++ {
		err = c.send(ctx, http.MethodPost, path, nil, body, answer)
		if !isOutcomeUnknown(err) || attempt == maxAttempts || ctx.Err() != nil {
			return err
		}
	}
}

// isOutcomeUnknown reports whether a change that failed with err may have taken effect.
func isOutcomeUnknown(err error) bool {
	return result.Is(err, result.OperatorOutcomeUnknown) || result.Is(err, result.PlatformUnavailable)
}

// send sends one request and decodes the answer. A failure answer is returned as a *result.List.
func (c *Client) send(ctx context.Context, method, path string, values url.Values, body []byte, answer any) error {
	if _, bounded := ctx.Deadline(); !bounded {
		bound, cancel := context.WithTimeout(ctx, opapi.ClientTimeout)
		defer cancel()
		ctx = bound
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path+"?"+values.Encode(), bytes.NewReader(body))
	if err != nil {
		return result.Wrap(result.OperatorRequestMalformed, err, "building the request")
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	response, err := c.HTTP.Do(request)
	if err != nil {
		return result.Wrap(result.OperatorOutcomeUnknown, err, "no answer from %s", c.Address)
	}
	// An error of Close is irrelevant, since reading the body reports its own error.
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return result.Wrap(result.OperatorOutcomeUnknown, err, "reading the answer of %s", c.Address)
	}
	if response.StatusCode == http.StatusOK {
		return result.Wrap(result.OperatorRequestMalformed, json.Unmarshal(content, answer), "decoding the answer")
	}
	return failureOf(response.StatusCode, content)
}

// failureOf decodes the answer to a refused request.
func failureOf(status int, content []byte) error {
	var failure opapi.Failure
	if json.Unmarshal(content, &failure) != nil || len(failure.Faults) == 0 {
		return result.Errorf(result.OperatorRequestMalformed, "the daemon answered status %d", status)
	}
	faults := &result.List{}
	for _, fault := range failure.Faults {
		faults.Add(result.Code(fault.Code), "%s", fault.Detail)
	}
	return faults
}
