package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/google/subcommands"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
)

// ExitConflict is the exit status of a change that conflicts with another one, and of
// a refused change of the control hosts.
const ExitConflict subcommands.ExitStatus = 3

const (
	// operatorTimeout limits the time that a subcommand waits for a reply, including retries.
	operatorTimeout = 20 * time.Second
	// operatorRetryInterval is the pause before a request is sent to the next host.
	operatorRetryInterval = 200 * time.Millisecond
)

// outputFormat is the format in which a subcommand prints results.
type outputFormat string

// The output formats.
const (
	jsonOutput  outputFormat = "json"
	tableOutput outputFormat = "table"
)

// operatorFlags holds the flags of the subcommands that call the operators' API.
type operatorFlags struct {
	hosts  string
	output string
}

func (o *operatorFlags) registerFlags(f *flag.FlagSet) {
	f.StringVar(&o.hosts, "hosts", "127.0.0.1:7103", "comma-separated operator addresses of hosts")
	f.StringVar(&o.output, "output", string(tableOutput), "output format: json or table")
}

func (o *operatorFlags) valid() bool {
	return o.hosts != "" && (outputFormat(o.output) == jsonOutput || outputFormat(o.output) == tableOutput)
}

// operatorReply is a host's reply to an operator's request.
type operatorReply struct {
	status int
	body   []byte

	Result        string              `json:"result"`
	Object        string              `json:"object"`
	Version       identifier.Version  `json:"version"`
	Field         string              `json:"field"`
	Reason        string              `json:"reason"`
	Message       string              `json:"message"`
	Current       operatorRevision    `json:"current"`
	Configuration identifier.Version  `json:"configuration-version"`
	Stale         bool                `json:"stale"`
	Revisions     []operatorRevision  `json:"revisions"`
	Control       operatorControl     `json:"control"`
	Change        identifier.ChangeID `json:"change-id"`
}

// operatorRevision is one revision of a template or customer.
type operatorRevision struct {
	Version  identifier.Version   `json:"version"`
	Change   identifier.ChangeID  `json:"change-id"`
	At       time.Time            `json:"at"`
	Deleted  bool                 `json:"deleted"`
	Template *configurer.Template `json:"template"`
	Customer *configurer.Customer `json:"customer"`
}

// operatorControl is a host's view of the control hosts.
type operatorControl struct {
	Host    identifier.HostID `json:"host"`
	Leader  identifier.HostID `json:"leader"`
	InTouch bool              `json:"in-touch"`
}

// objectID returns the ID of the revision's object, or deletedID if the revision is a deletion.
func (r operatorRevision) objectID(deletedID string) string {
	switch {
	case r.Template != nil:
		return string(r.Template.ID)
	case r.Customer != nil:
		return string(r.Customer.ID)
	}
	return deletedID
}

func (r operatorRevision) state() string {
	if r.Deleted {
		return "deleted"
	}
	return "present"
}

// UnansweredError reports that no host gave a final answer in time.
type UnansweredError struct {
	Hosts string
	Last  error
}

// Error returns a message with the hosts and the last error.
func (e *UnansweredError) Error() string {
	return fmt.Sprintf("no final answer from %s; a change may have been accepted and can safely be sent again: %v", e.Hosts, e.Last)
}

// Unwrap returns the last error.
func (e *UnansweredError) Unwrap() error { return e.Last }

var errUnknownOutcome = errors.New("the host does not know the outcome")

// send sends a request to the hosts in turn until one replies with a status below 500.
// It returns an *UnansweredError after operatorTimeout, or when the context ends. Changes
// carry a change ID, and adding or removing a control host is idempotent, so requests are
// safe to repeat.
func (o *operatorFlags) send(ctx context.Context, method, path string, body []byte) (operatorReply, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	hosts := parseAddresses(o.hosts)
	var last error
	for i := 0; ; i++ {
		reply, err := sendToHost(ctx, method, "http://"+string(hosts[i%len(hosts)])+path, body)
		if err == nil && reply.status < http.StatusInternalServerError {
			return reply, nil
		}
		if err == nil {
			err = fmt.Errorf("%w: %s", errUnknownOutcome, reply.Message)
		}
		// An error from before the deadline says more about the cause than the context's error.
		if last == nil || ctx.Err() == nil {
			last = err
		}
		select {
		case <-ctx.Done():
			return operatorReply{}, &UnansweredError{Hosts: o.hosts, Last: last}
		case <-time.After(operatorRetryInterval):
		}
	}
}

func sendToHost(ctx context.Context, method, target string, body []byte) (operatorReply, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return operatorReply{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return operatorReply{}, err
	}
	defer response.Body.Close()
	reply := operatorReply{status: response.StatusCode}
	if reply.body, err = io.ReadAll(response.Body); err != nil {
		return operatorReply{}, err
	}
	if err := json.Unmarshal(reply.body, &reply); err != nil {
		return operatorReply{}, fmt.Errorf("%s replied with status %d and a body that is not valid JSON: %w", target, response.StatusCode, err)
	}
	return reply, nil
}

// pathOf returns the API path of an object, or of all objects of a kind if the name has no ID.
func pathOf(n registrar.Name) string {
	path := fmt.Sprintf("/v1/%ss", n.Kind)
	if n.ID != "" {
		path += "/" + url.PathEscape(string(n.ID))
	}
	return path
}

// parseName parses the arguments KIND [ID] and reports whether they are valid.
func parseName(arguments []string) (registrar.Name, bool) {
	if len(arguments) == 0 || len(arguments) > 2 {
		return registrar.Name{}, false
	}
	n := registrar.Name{Kind: registrar.Kind(arguments[0])}
	if len(arguments) == 2 {
		n.ID = registrar.ObjectID(arguments[1])
	}
	return n, n.Kind == registrar.TemplateKind || n.Kind == registrar.CustomerKind
}
