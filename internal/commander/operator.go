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

// ExitConflict is the exit status of a change that another change has overtaken.
const ExitConflict subcommands.ExitStatus = 3

const (
	// operatorTimeout bounds a subcommand that talks to entry hosts.
	operatorTimeout = 20 * time.Second
	// operatorPause separates the tries at entry hosts.
	operatorPause = 200 * time.Millisecond
)

// output is the form in which a subcommand prints.
type output string

// The forms of output.
const (
	jsonOutput  output = "json"
	tableOutput output = "table"
)

// operatorFlags are the flags that all subcommands for operators share.
type operatorFlags struct {
	hosts  string
	output string
}

func (o *operatorFlags) set(f *flag.FlagSet) {
	f.StringVar(&o.hosts, "hosts", "127.0.0.1:7103", "the operators' addresses of entry hosts, separated by commas")
	f.StringVar(&o.output, "output", string(tableOutput), "what to print: json or table")
}

func (o *operatorFlags) valid() bool {
	return o.hosts != "" && (output(o.output) == jsonOutput || output(o.output) == tableOutput)
}

// operatorReply is what an entry host answers to an operator.
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

// operatorControl is what the entry host knows of the replicated log.
type operatorControl struct {
	Host    identifier.HostID `json:"host"`
	Leader  identifier.HostID `json:"leader"`
	InTouch bool              `json:"in-touch"`
}

// id returns the id of the revision's object, or the given one after its deletion.
func (r operatorRevision) id(deleted string) string {
	switch {
	case r.Template != nil:
		return string(r.Template.ID)
	case r.Customer != nil:
		return string(r.Customer.ID)
	}
	return deleted
}

func (r operatorRevision) state() string {
	if r.Deleted {
		return "deleted"
	}
	return "present"
}

// UnansweredError reports that no entry host gave a final answer in time.
type UnansweredError struct {
	Hosts string
	Last  error
}

// Error names the hosts and the last reason.
func (e *UnansweredError) Error() string {
	return fmt.Sprintf("no final answer from %s; a change may have been accepted, and sending it again is safe: %v", e.Hosts, e.Last)
}

// Unwrap returns the last reason.
func (e *UnansweredError) Unwrap() error { return e.Last }

var errUnknownOutcome = errors.New("the outcome is unknown to the entry host")

// ask sends a request to the entry hosts in turn until one gives a final answer.
// Changes carry a change id, so repeating one is safe.
func (o *operatorFlags) ask(ctx context.Context, method, path string, body []byte) (operatorReply, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	hosts := addresses(o.hosts)
	var last error
	for i := 0; ; i++ {
		reply, err := askHost(ctx, method, "http://"+string(hosts[i%len(hosts)])+path, body)
		if err == nil && reply.status < http.StatusInternalServerError {
			return reply, nil
		}
		if err == nil {
			err = fmt.Errorf("%w: %s", errUnknownOutcome, reply.Message)
		}
		// The context's own end says less than what came before it.
		if last == nil || ctx.Err() == nil {
			last = err
		}
		select {
		case <-ctx.Done():
			return operatorReply{}, &UnansweredError{Hosts: o.hosts, Last: last}
		case <-time.After(operatorPause):
		}
	}
}

func askHost(ctx context.Context, method, address string, body []byte) (operatorReply, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
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
		return operatorReply{}, fmt.Errorf("%s answered %d without JSON: %w", address, response.StatusCode, err)
	}
	return reply, nil
}

// pathOf returns the path of an object, or of all of a kind without an id.
func pathOf(n registrar.Name) string {
	path := fmt.Sprintf("/v1/%ss", n.Kind)
	if n.ID != "" {
		path += "/" + url.PathEscape(string(n.ID))
	}
	return path
}

// parseName reads the arguments KIND [ID].
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
