// Package caller calls backend servers: it sends attempts to them over HTTP.
//
// Each backend server has its own connection pool, limited by the server's connection
// cap. The result of a call is an event: served, refused as not run, or lost when the
// connection ended without a response.
//
// # Usage
//
//	c := caller.New()
//	event := c.Do(ctx, call, remaining)
//	defer c.Close()
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

const (
	// dialTimeout limits the time to connect to a backend server.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 30 * time.Second
	// maxResponseSize limits how much of a response body is read, in bytes, and so the size of
	// a part.
	maxResponseSize = 8 << 20
)

// Caller sends calls to backend servers over pooled connections. It is safe for concurrent
// use.
type Caller struct {
	mutex   sync.Mutex
	clients map[identifier.Address]*http.Client
}

// New returns a Caller without connections.
func New() *Caller {
	return &Caller{clients: map[identifier.Address]*http.Client{}}
}

// Close closes the idle connections.
func (c *Caller) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, client := range c.clients {
		client.CloseIdleConnections()
	}
}

// Do sends a call to its backend server and returns the result. The context carries the
// deadline and the cancellation. The remaining time is sent to the server.
func (c *Caller) Do(ctx context.Context, call reducer.Call, remaining identifier.Micros) reducer.SlotEvent {
	body, err := json.Marshal(struct {
		Attempt   string                `json:"attempt"`
		Customer  identifier.CustomerID `json:"customer"`
		Work      identifier.WorkKind   `json:"work"`
		Remaining identifier.Micros     `json:"remaining-us"`
		Snapshot  identifier.Snapshot   `json:"snapshot"`
		Range     identifier.HashRange  `json:"range"`
		Body      json.RawMessage       `json:"body,omitempty"`
	}{call.Attempt.String(), call.Customer, call.Work, remaining, call.Snapshot, call.Range, call.Body})
	if err != nil {
		return refused(call, reducer.RefusedByServer)
	}
	response, err := c.post(ctx, call, "attempts", body)
	if err != nil {
		return transportFailure(call, err)
	}
	defer response.Body.Close()
	return readResult(call, response)
}

// UnknownAttemptError reports that a backend server rejected a cancellation with a status of
// 300 or above, as it does if the attempt is neither queued nor running there.
type UnknownAttemptError struct {
	Status int
}

// Error returns a message with the HTTP status of the response.
func (e *UnknownAttemptError) Error() string {
	return fmt.Sprintf("caller: backend server rejected the cancellation with status %d", e.Status)
}

// Cancel asks the backend server of a call to cancel the attempt by its ID, after which Do
// returns. Unlike cancelling the context of Do, this keeps the call's connection open. Cancel
// returns an *UnknownAttemptError when the server rejects the cancellation.
func (c *Caller) Cancel(ctx context.Context, call reducer.Call) error {
	body, err := json.Marshal(struct {
		Attempt string `json:"attempt"`
	}{call.Attempt.String()})
	if err != nil {
		return fmt.Errorf("caller: encode cancellation: %w", err)
	}
	response, err := c.post(ctx, call, "cancellations", body)
	if err != nil {
		return fmt.Errorf("caller: cancel %s: %w", call.Attempt, err)
	}
	defer response.Body.Close()
	// The connection can only be reused once the body has been read.
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseSize)); err != nil {
		return fmt.Errorf("caller: cancel %s: %w", call.Attempt, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return &UnknownAttemptError{Status: response.StatusCode}
	}
	return nil
}

// post sends a POST request to a resource of the call's backend server.
func (c *Caller) post(ctx context.Context, call reducer.Call, resource string, body []byte) (*http.Response, error) {
	url := fmt.Sprintf("http://%s/v1/%s", call.Address, resource)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return c.clientFor(call).Do(request)
}

// clientFor returns the HTTP client of the call's backend server, and creates it on first use.
func (c *Caller) clientFor(call reducer.Call) *http.Client {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if client, ok := c.clients[call.Address]; ok {
		return client
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     int(call.Connections),
		MaxIdleConnsPerHost: int(call.Connections),
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
	c.clients[call.Address] = client
	return client
}

// readResult returns the event for a response. The attempt counts as not run only for status
// 503 with the kind not-run or snapshot-gone. After any other failure it may have run.
func readResult(call reducer.Call, response *http.Response) reducer.SlotEvent {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
	if err != nil {
		return reducer.CallLost{Server: call.Server, Attempt: call.Attempt}
	}
	if response.StatusCode != http.StatusOK {
		return readRefusal(call, response.StatusCode, data)
	}
	var part struct {
		Attempt  string               `json:"attempt"`
		Snapshot identifier.Snapshot  `json:"snapshot"`
		Range    identifier.HashRange `json:"range"`
		Body     json.RawMessage      `json:"body"`
	}
	if err := json.Unmarshal(data, &part); err != nil || part.Attempt != call.Attempt.String() {
		return reducer.CallLost{Server: call.Server, Attempt: call.Attempt}
	}
	return reducer.CallServed{
		Attempt: call.Attempt, Server: call.Server,
		Snapshot: part.Snapshot, Range: part.Range, Body: part.Body,
	}
}

func readRefusal(call reducer.Call, status int, data []byte) reducer.SlotEvent {
	var refusal struct {
		Kind string `json:"kind"`
	}
	if err := json.Unmarshal(data, &refusal); err != nil || status != http.StatusServiceUnavailable {
		return reducer.CallLost{Server: call.Server, Attempt: call.Attempt}
	}
	switch refusal.Kind {
	case "not-run":
		return refused(call, reducer.RefusedByServer)
	case "snapshot-gone":
		return refused(call, reducer.RefusedSnapshot)
	}
	return reducer.CallLost{Server: call.Server, Attempt: call.Attempt}
}

// transportFailure returns the event for a request that failed without a response. The
// attempt is refused as unreachable when the dial failed; otherwise it may have run and is
// lost.
func transportFailure(call reducer.Call, err error) reducer.SlotEvent {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return refused(call, reducer.RefusedUnreachable)
	}
	return reducer.CallLost{Server: call.Server, Attempt: call.Attempt}
}

func refused(call reducer.Call, reason reducer.RefusalReason) reducer.SlotEvent {
	return reducer.CallRefused{Server: call.Server, Attempt: call.Attempt, Reason: reason}
}
