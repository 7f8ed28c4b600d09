package experimenter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/lagooncleat/lagooncleat/internal/demonstrator"
	"github.com/lagooncleat/lagooncleat/internal/faker"
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// system is a system under test: the policy in its entry hosts, or a baseline. It
// is sealed.
type system interface{ isSystem() }

// deployedPolicy is the policy in running entry hosts, which are queried over HTTP.
type deployedPolicy struct {
	*demonstrator.Deployment
	client   *http.Client
	executed *executedBodies
}

func (*deployedPolicy) isSystem() {}
func (*baseline) isSystem()       {}

// executedBodies is the set of the bodies of queries that backend servers ran.
type executedBodies struct{ bodies sync.Map }

func (b *executedBodies) add(body []byte) {
	b.bodies.Store(string(body), struct{}{})
}

// containsToken reports whether any backend server ran a query with the token.
func (b *executedBodies) containsToken(token string) bool {
	_, ok := b.bodies.Load(fmt.Sprintf("%q", token))
	return ok
}

// query is one query of the load.
type query struct {
	customer    configurer.Customer
	work        identifier.WorkKind
	timeout     time.Duration
	minCoverage identifier.Ratio
	token       string
	// host is the index of the entry host that receives the query.
	host int
}

// reply is the result of a query, as the load tool sees it. Its violation is empty
// unless the answer broke a guarantee or the load tool could not build the request.
type reply struct {
	kind      outcomeKind
	parts     int
	coverage  identifier.Ratio
	violation string
}

// runQuery runs a query and, for the policy, verifies the answer.
func runQuery(ctx context.Context, s system, q query) reply {
	switch s := s.(type) {
	case *deployedPolicy:
		return s.runQuery(ctx, q)
	case *baseline:
		return s.runQuery(ctx, q)
	}
	panic(fmt.Sprintf("experimenter: unknown system under test %T", s))
}

// answer holds the fields of an answer or failure that the load tool reads.
type answer struct {
	Ran      reducer.Ran         `json:"ran"`
	Coverage identifier.Ratio    `json:"coverage"`
	Snapshot identifier.Snapshot `json:"snapshot"`
	Parts    []part              `json:"parts"`
}

// part is one part of an answer. Its body is the backend server's own statement of
// what it served.
type part struct {
	Server identifier.ServerID  `json:"server"`
	Range  identifier.HashRange `json:"range"`
	Body   struct {
		faker.Part
		Echo json.RawMessage `json:"echo"`
	} `json:"body"`
}

func (d *deployedPolicy) runQuery(ctx context.Context, q query) reply {
	body, err := json.Marshal(struct {
		Work    identifier.WorkKind `json:"work"`
		Timeout int64               `json:"timeout-ms"`
		Body    string              `json:"body"`
	}{q.work, q.timeout.Milliseconds(), q.token})
	if err != nil {
		return reply{kind: failed, violation: err.Error()}
	}
	address := d.Hosts[q.host].Address(demonstrator.Callers)
	url := fmt.Sprintf("http://%s/v1/customers/%s/queries", address, q.customer.ID)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return reply{kind: failed, violation: err.Error()}
	}
	response, err := d.client.Do(request)
	if err != nil {
		return reply{kind: failed}
	}
	defer response.Body.Close()
	var a answer
	if err := json.NewDecoder(response.Body).Decode(&a); err != nil {
		return reply{kind: failed}
	}
	if response.StatusCode == http.StatusOK {
		return reply{kind: answered, parts: len(a.Parts), coverage: a.Coverage, violation: a.check(q.token)}
	}
	if a.Ran == reducer.RanNo {
		return reply{kind: refused}
	}
	return reply{kind: failed}
}

// check compares an answer with the statements of its parts. It returns the first
// contradiction, or an empty string.
func (a answer) check(token string) string {
	var covered identifier.HashPoint
	seen := map[identifier.HashRange]bool{}
	echo := fmt.Sprintf("%q", token)
	for _, p := range a.Parts {
		switch {
		case string(p.Body.Echo) != echo:
			return fmt.Sprintf("part of another query: %s in place of %s", p.Body.Echo, echo)
		case p.Body.Snapshot != a.Snapshot:
			return fmt.Sprintf("snapshot %v in an answer of %v", p.Body.Snapshot, a.Snapshot)
		case p.Body.Range != p.Range || p.Body.Server != p.Server:
			return fmt.Sprintf("part of %s %v is labelled %s %v", p.Body.Server, p.Body.Range, p.Server, p.Range)
		case seen[p.Range]:
			return fmt.Sprintf("range %v counts twice", p.Range)
		}
		seen[p.Range] = true
		covered += p.Range.Width()
	}
	if actual := identifier.Ratio(covered) / identifier.Ratio(identifier.HashSpace); actual != a.Coverage {
		return fmt.Sprintf("coverage %v is reported for %v", a.Coverage, actual)
	}
	return ""
}
