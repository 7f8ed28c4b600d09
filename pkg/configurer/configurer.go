// Package configurer turns templates and customers into the policies that
// queries run under.
//
// Operators write templates, which hold parameters that many customers share,
// and customers, which name a template, their partitioning and the parameters
// in which they differ. Resolve merges the two into a Policy.
//
// # Usage
//
//	policy, err := configurer.Resolve(template, customer)
//	if err != nil {
//		return err
//	}
//	rank, known := policy.Works["defect-history"]
package configurer

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Work maps a kind of work to its rank.
type Work struct {
	Kind identifier.WorkKind `yaml:"kind" json:"kind" msgpack:"kind"`
	Rank string              `yaml:"rank" json:"rank" msgpack:"rank"`
}

// RankParameters are the promises for one rank of work.
type RankParameters struct {
	Rank string `yaml:"rank" json:"rank" msgpack:"rank"`
	// TimeoutMillis is the longest time that a caller may wait, in milliseconds.
	TimeoutMillis int64 `yaml:"timeout-ms" json:"timeout-ms" msgpack:"timeout-ms"`
	// MinCoverage is the least coverage of an answer, from 0 to 1.
	MinCoverage float64 `yaml:"min-coverage" json:"min-coverage" msgpack:"min-coverage"`
	// Floor is the share of a server's capacity that the rank keeps under load, from 0 to 1.
	Floor float64 `yaml:"floor" json:"floor" msgpack:"floor"`
	// TargetMillis is the latency objective, in milliseconds, for the burn report.
	TargetMillis int64 `yaml:"target-ms" json:"target-ms" msgpack:"target-ms"`
	// Objective is the share of requests that must meet the target, from 0 to 1.
	Objective float64 `yaml:"objective" json:"objective" msgpack:"objective"`
}

// Budgets bound the extra load on backend servers, as shares of the needed attempts.
type Budgets struct {
	Hedge float64 `yaml:"hedge" json:"hedge" msgpack:"hedge"`
	Retry float64 `yaml:"retry" json:"retry" msgpack:"retry"`
}

// Template holds the parameters that its customers share.
type Template struct {
	ID      identifier.TemplateID `yaml:"template" json:"template" msgpack:"template"`
	Works   []Work                `yaml:"works" json:"works" msgpack:"works"`
	Ranks   []RankParameters      `yaml:"ranks" json:"ranks" msgpack:"ranks"`
	Budgets Budgets               `yaml:"budgets" json:"budgets" msgpack:"budgets"`
}

// Shard is one range of a customer's hash space and the service that holds it.
type Shard struct {
	Service identifier.ServiceID `yaml:"service" json:"service" msgpack:"service"`
	Range   identifier.HashRange `yaml:"range" json:"range" msgpack:"range"`
}

// Partition divides a customer's hash space among services.
type Partition struct {
	Epoch  identifier.Epoch `yaml:"epoch" json:"epoch" msgpack:"epoch"`
	Shards []Shard          `yaml:"shards" json:"shards" msgpack:"shards"`
}

// Customer names a template and what differs from it. Entries of Works and Ranks
// replace the template's entries of the same kind or rank.
type Customer struct {
	ID        identifier.CustomerID `yaml:"customer" json:"customer" msgpack:"customer"`
	Template  identifier.TemplateID `yaml:"template" json:"template" msgpack:"template"`
	Partition Partition             `yaml:"partition" json:"partition" msgpack:"partition"`
	// Previous is the partition that queries may fall back to while a change of
	// epoch is under way; nil is none.
	Previous *Partition       `yaml:"previous-partition,omitempty" json:"previous-partition,omitempty" msgpack:"previous-partition"`
	Works    []Work           `yaml:"works,omitempty" json:"works,omitempty" msgpack:"works"`
	Ranks    []RankParameters `yaml:"ranks,omitempty" json:"ranks,omitempty" msgpack:"ranks"`
	Budgets  *Budgets         `yaml:"budgets,omitempty" json:"budgets,omitempty" msgpack:"budgets"`
}

// Limits are the resolved promises for one rank.
type Limits struct {
	Timeout     identifier.Micros
	MinCoverage identifier.Ratio
	Floor       identifier.Ratio
	Target      identifier.Micros
	Objective   identifier.Ratio
}

// Policy is a customer merged with its template. It is immutable once resolved.
type Policy struct {
	Customer    identifier.CustomerID
	Works       map[identifier.WorkKind]identifier.Rank
	Limits      [identifier.RankCount]Limits
	HedgeBudget identifier.Ratio
	RetryBudget identifier.Ratio
	Partition   Partition
	// Ranges are the ranges of the partition's shards, in the same order.
	Ranges []identifier.HashRange
	// Previous is the partition before a change of epoch, or nil.
	Previous *Partition
}

// Partitions returns the partitions that a query may keep to, newest first.
func (p *Policy) Partitions() []Partition {
	if p.Previous == nil {
		return []Partition{p.Partition}
	}
	return []Partition{p.Partition, *p.Previous}
}

// InvalidFieldError reports a field whose value breaks a rule.
type InvalidFieldError struct {
	// Object is the template or customer, as in "customer release-desk".
	Object string
	// Field is the path of the field, as in "partition.shards[2].range".
	Field string
	// Reason says which rule the value breaks.
	Reason string
}

// Error names the object, the field and the reason.
func (e *InvalidFieldError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Object, e.Field, e.Reason)
}

// Resolve merges a customer with its template and checks every value. It
// returns an *InvalidFieldError for the first value that breaks a rule.
func Resolve(t Template, c Customer) (*Policy, error) {
	p := &Policy{
		Customer:  c.ID,
		Works:     map[identifier.WorkKind]identifier.Rank{},
		Partition: c.Partition,
	}
	object := fmt.Sprintf("customer %s", c.ID)
	for _, works := range [][]Work{t.Works, c.Works} {
		if err := p.addWorks(object, works); err != nil {
			return nil, err
		}
	}
	for _, ranks := range [][]RankParameters{t.Ranks, c.Ranks} {
		if err := p.addRanks(object, ranks); err != nil {
			return nil, err
		}
	}
	for r := range p.Limits {
		if p.Limits[r].Timeout == 0 {
			return nil, &InvalidFieldError{object, "ranks", fmt.Sprintf("no entry for rank %s", identifier.Rank(r))}
		}
	}
	budgets := t.Budgets
	if c.Budgets != nil {
		budgets = *c.Budgets
	}
	p.HedgeBudget = identifier.Ratio(budgets.Hedge)
	p.RetryBudget = identifier.Ratio(budgets.Retry)
	if !share(budgets.Hedge) || !share(budgets.Retry) {
		return nil, &InvalidFieldError{object, "budgets", "a budget must lie from 0 to 1"}
	}
	ranges, err := p.Partition.ranges(object, "partition")
	if err != nil {
		return nil, err
	}
	p.Ranges = ranges
	return p, p.addPrevious(object, c.Previous)
}

// addPrevious takes the partition before a change of epoch.
func (p *Policy) addPrevious(object string, previous *Partition) error {
	if previous == nil {
		return nil
	}
	if previous.Epoch >= p.Partition.Epoch {
		return &InvalidFieldError{object, "previous-partition.epoch", "must be below the partition's epoch"}
	}
	if _, err := previous.ranges(object, "previous-partition"); err != nil {
		return err
	}
	p.Previous = previous
	return nil
}

func share(value float64) bool {
	return value >= 0 && value <= 1
}

func (p *Policy) addWorks(object string, works []Work) error {
	for i, w := range works {
		rank, err := identifier.ParseRank(w.Rank)
		if err != nil {
			return &InvalidFieldError{object, fmt.Sprintf("works[%d].rank", i), err.Error()}
		}
		if w.Kind == "" {
			return &InvalidFieldError{object, fmt.Sprintf("works[%d].kind", i), "must not be empty"}
		}
		p.Works[w.Kind] = rank
	}
	return nil
}

func (p *Policy) addRanks(object string, ranks []RankParameters) error {
	for i, r := range ranks {
		field := fmt.Sprintf("ranks[%d]", i)
		rank, err := identifier.ParseRank(r.Rank)
		if err != nil {
			return &InvalidFieldError{object, field + ".rank", err.Error()}
		}
		if r.TimeoutMillis <= 0 {
			return &InvalidFieldError{object, field + ".timeout-ms", "must be above 0"}
		}
		if !share(r.MinCoverage) || !share(r.Floor) || !share(r.Objective) {
			return &InvalidFieldError{object, field, "min-coverage, floor and objective must lie from 0 to 1"}
		}
		p.Limits[rank] = Limits{
			Timeout:     identifier.Micros(r.TimeoutMillis) * identifier.Millisecond,
			MinCoverage: identifier.Ratio(r.MinCoverage),
			Floor:       identifier.Ratio(r.Floor),
			Target:      identifier.Micros(r.TargetMillis) * identifier.Millisecond,
			Objective:   identifier.Ratio(r.Objective),
		}
	}
	return nil
}

// ranges returns the ranges of the shards if they divide the whole hash space.
func (p *Partition) ranges(object, path string) ([]identifier.HashRange, error) {
	if len(p.Shards) == 0 {
		return nil, &InvalidFieldError{object, path + ".shards", "must name at least one shard"}
	}
	var ranges []identifier.HashRange
	var end identifier.HashPoint
	for i, s := range p.Shards {
		field := fmt.Sprintf("%s.shards[%d]", path, i)
		if s.Service == "" {
			return nil, &InvalidFieldError{object, field + ".service", "must not be empty"}
		}
		if s.Range.From != end || s.Range.Width() == 0 {
			return nil, &InvalidFieldError{object, field + ".range", fmt.Sprintf("must start at %d and not be empty", end)}
		}
		end = s.Range.To
		ranges = append(ranges, s.Range)
	}
	if end != identifier.HashSpace {
		return nil, &InvalidFieldError{object, path + ".shards", fmt.Sprintf("must end at %d", identifier.HashSpace)}
	}
	return ranges, nil
}

// EvenPartition divides the hash space evenly among the services, in order.
func EvenPartition(epoch identifier.Epoch, services []identifier.ServiceID) Partition {
	p := Partition{Epoch: epoch}
	count := identifier.HashPoint(len(services))
	for i, service := range services {
		r := identifier.HashRange{
			From: identifier.HashSpace * identifier.HashPoint(i) / count,
			To:   identifier.HashSpace * identifier.HashPoint(i+1) / count,
		}
		p.Shards = append(p.Shards, Shard{Service: service, Range: r})
	}
	return p
}
