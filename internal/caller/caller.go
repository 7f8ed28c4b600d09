// Package caller sends attempts to backend servers over HTTP.
//
// Each backend server has its own pool of connections, bounded by the server's
// connection cap. The result of a call is an event: served, refused as not run,
// or lost when the connection ended without an answer.
//
// # Usage
//
//	c := caller.New()
//	event := c.Do(ctx, call)
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
	// dialTimeout bounds the time to connect to a backend server.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout closes connections that have been idle for so long.
	idleTimeout = 30 * time.Second
	// maxPart bounds the bytes of one part of an answer.
	maxPart = 8 << 20
)

// Caller holds the connections to backend servers.
type Caller struct {
	mutex   sync.Mutex
	clients map[identifier.Address]*http.Client
}

// New returns a Caller without connections.
func New() *Caller {
	return &Caller{clients: map[identifier.Address]*http.Client{}}
}

// Close ends the idle connections.
func (c *Caller) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, client := range c.clients {
		client.CloseIdleConnections()
	}
}

// Do runs a call and returns its result. The context carries the deadline and the cancellation.
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
		return failed(call, err)
	}
	defer response.Body.Close()
	return readResult(call, response)
}

// UnknownAttemptError reports that the backend server neither queues nor runs an attempt.
type UnknownAttemptError struct {
	Status int
}

// Error gives the status that the backend server answered with.
func (e *UnknownAttemptError) Error() string {
	return fmt.Sprintf("caller: cancellation answered with status %d", e.Status)
}

// Cancel asks the backend server of a call to end it by its attempt id, which
// keeps the call's connection open; Do then returns. It returns an *UnknownAttemptError when the
// server does not know the attempt.
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
	// An unread body would keep the connection from being used again.
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxPart)); err != nil {
		return fmt.Errorf("caller: cancel %s: %w", call.Attempt, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return &UnknownAttemptError{Status: response.StatusCode}
	}
	return nil
}

// post sends a body to a resource of the call's backend server.
func (c *Caller) post(ctx context.Context, call reducer.Call, resource string, body []byte) (*http.Response, error) {
	url := fmt.Sprintf("http://%s/v1/%s", call.Address, resource)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return c.client(call).Do(request)
}

func (c *Caller) client(call reducer.Call) *http.Client {
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

// readResult turns a response into an event. Only a status of 503 with the kind
// not-run or snapshot-gone states that the attempt did not run.
func readResult(call reducer.Call, response *http.Response) reducer.SlotEvent {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxPart))
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

// failed tells an attempt that never reached a connection from one that may have run.
func failed(call reducer.Call, err error) reducer.SlotEvent {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return refused(call, reducer.RefusedUnreachable)
	}
	return reducer.CallLost{Server: call.Server, Attempt: call.Attempt}
}

func refused(call reducer.Call, reason reducer.RefusalReason) reducer.SlotEvent {
	return reducer.CallRefused{Server: call.Server, Attempt: call.Attempt, Reason: reason}
}
