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

// subject is what is measured. It is sealed: the policy in its entry hosts, or
// hosts that choose alone.
type subject interface{ isSubject() }

// deployed is the policy as it stands, asked over HTTP.
type deployed struct {
	*demonstrator.Deployment
	client *http.Client
	ran    *ranTokens
}

func (*deployed) isSubject() {}
func (*alone) isSubject()    {}

// ranTokens are the bodies of the queries that backend servers ran.
type ranTokens struct{ bodies sync.Map }

func (r *ranTokens) add(body []byte) {
	r.bodies.Store(string(body), struct{}{})
}

// has reports whether a query with the token ran anywhere.
func (r *ranTokens) has(token string) bool {
	_, ok := r.bodies.Load(fmt.Sprintf("%q", token))
	return ok
}

// query is one query of the load.
type query struct {
	customer    configurer.Customer
	work        identifier.WorkKind
	timeout     time.Duration
	minCoverage identifier.Ratio
	token       string
	// host is the position of the entry host that receives it.
	host int
}

// reply is what the tool learns from the end of a query.
type reply struct {
	kind      outcomeKind
	parts     int
	coverage  identifier.Ratio
	violation string
}

// ask runs a query and checks its answer.
func ask(ctx context.Context, s subject, q query) reply {
	switch s := s.(type) {
	case *deployed:
		return s.ask(ctx, q)
	case *alone:
		return s.ask(ctx, q)
	}
	panic(fmt.Sprintf("experimenter: unknown subject %T", s))
}

// answer is what a caller reads of an answer or a failure.
type answer struct {
	Ran      reducer.Ran         `json:"ran"`
	Coverage identifier.Ratio    `json:"coverage"`
	Snapshot identifier.Snapshot `json:"snapshot"`
	Parts    []part              `json:"parts"`
}

// part is one part of an answer, with what its backend server states about it.
type part struct {
	Server identifier.ServerID  `json:"server"`
	Range  identifier.HashRange `json:"range"`
	Body   struct {
		faker.Part
		Echo json.RawMessage `json:"echo"`
	} `json:"body"`
}

func (d *deployed) ask(ctx context.Context, q query) reply {
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

// check compares an answer with what its parts state. It returns what is wrong, or nothing.
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
