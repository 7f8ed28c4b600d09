// Package configurer resolves templates and customers into the policies that apply
// to queries.
//
// Operators write templates, which hold parameters that many customers share, and customers,
// which refer to a template and define a partition and the parameters that differ from the
// template. Resolve merges the two into a Policy.
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

// RankParameters are the service parameters of one rank of work.
type RankParameters struct {
	Rank string `yaml:"rank" json:"rank" msgpack:"rank"`
	// TimeoutMillis is the time limit for answering a query, in milliseconds.
	TimeoutMillis int64 `yaml:"timeout-ms" json:"timeout-ms" msgpack:"timeout-ms"`
	// MinCoverage is the minimum coverage of an answer, from 0 to 1.
	MinCoverage float64 `yaml:"min-coverage" json:"min-coverage" msgpack:"min-coverage"`
	// Floor is the fraction of a server's capacity that the rank keeps under load, from 0 to 1.
	Floor float64 `yaml:"floor" json:"floor" msgpack:"floor"`
	// TargetMillis is the target latency for the burn report, in milliseconds.
	TargetMillis int64 `yaml:"target-ms" json:"target-ms" msgpack:"target-ms"`
	// Objective is the fraction of requests that must meet the target latency, from 0 to 1.
	Objective float64 `yaml:"objective" json:"objective" msgpack:"objective"`
}

// Budgets limit the hedges and retries sent to backend servers, as fractions of the first
// attempts.
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

// Shard assigns a range of a customer's hash space to a service.
type Shard struct {
	Service identifier.ServiceID `yaml:"service" json:"service" msgpack:"service"`
	Range   identifier.HashRange `yaml:"range" json:"range" msgpack:"range"`
}

// Partition divides a customer's hash space among services.
type Partition struct {
	Epoch  identifier.Epoch `yaml:"epoch" json:"epoch" msgpack:"epoch"`
	Shards []Shard          `yaml:"shards" json:"shards" msgpack:"shards"`
}

// Customer refers to a template and overrides some of its parameters. Entries of Works
// and Ranks replace the template's entries of the same kind or rank, and Budgets, if
// set, replaces the template's budgets.
type Customer struct {
	ID        identifier.CustomerID `yaml:"customer" json:"customer" msgpack:"customer"`
	Template  identifier.TemplateID `yaml:"template" json:"template" msgpack:"template"`
	Partition Partition             `yaml:"partition" json:"partition" msgpack:"partition"`
	// Previous is the partition that queries may fall back to during a change of
	// epoch, or nil.
	Previous *Partition       `yaml:"previous-partition,omitempty" json:"previous-partition,omitempty" msgpack:"previous-partition"`
	Works    []Work           `yaml:"works,omitempty" json:"works,omitempty" msgpack:"works"`
	Ranks    []RankParameters `yaml:"ranks,omitempty" json:"ranks,omitempty" msgpack:"ranks"`
	Budgets  *Budgets         `yaml:"budgets,omitempty" json:"budgets,omitempty" msgpack:"budgets"`
}

// RankPolicy holds the resolved parameters of one rank.
type RankPolicy struct {
	Timeout     identifier.Micros
	MinCoverage identifier.Ratio
	Floor       identifier.Ratio
	Target      identifier.Micros
	Objective   identifier.Ratio
}

// Policy is the result of merging a customer with its template. It must not be modified after Resolve.
type Policy struct {
	Customer    identifier.CustomerID
	Works       map[identifier.WorkKind]identifier.Rank
	Ranks       [identifier.RankCount]RankPolicy
	HedgeBudget identifier.Ratio
	RetryBudget identifier.Ratio
	Partition   Partition
	// Ranges holds the hash ranges of the partition's shards, in the same order.
	Ranges []identifier.HashRange
	// Previous is the partition of the previous epoch during a change of epoch, or nil.
	Previous *Partition
}

// Partitions returns the partitions that a query may use, newest first.
func (p *Policy) Partitions() []Partition {
	if p.Previous == nil {
		return []Partition{p.Partition}
	}
	return []Partition{p.Partition, *p.Previous}
}

// InvalidFieldError is returned for a field with an invalid value.
type InvalidFieldError struct {
	// Object is the template or customer, for example "customer release-desk".
	Object string
	// Field is the path of the field, for example "partition.shards[2].range".
	Field string
	// Reason explains why the value is invalid.
	Reason string
}

// Error returns a message with the object, the field and the reason.
func (e *InvalidFieldError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Object, e.Field, e.Reason)
}

// Resolve merges a customer with its template and validates the result. It returns
// an *InvalidFieldError for the first invalid value.
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
	for r := range p.Ranks {
		if p.Ranks[r].Timeout == 0 {
			return nil, &InvalidFieldError{object, "ranks", fmt.Sprintf("no entry for rank %s", identifier.Rank(r))}
		}
	}
	budgets := t.Budgets
	if c.Budgets != nil {
		budgets = *c.Budgets
	}
	p.HedgeBudget = identifier.Ratio(budgets.Hedge)
	p.RetryBudget = identifier.Ratio(budgets.Retry)
	if !isRatio(budgets.Hedge) || !isRatio(budgets.Retry) {
		return nil, &InvalidFieldError{object, "budgets", "a budget must lie from 0 to 1"}
	}
	ranges, err := p.Partition.shardRanges(object, "partition")
	if err != nil {
		return nil, err
	}
	p.Ranges = ranges
	return p, p.setPrevious(object, c.Previous)
}

// setPrevious validates and sets the partition of the previous epoch, if any.
func (p *Policy) setPrevious(object string, previous *Partition) error {
	if previous == nil {
		return nil
	}
	if previous.Epoch >= p.Partition.Epoch {
		return &InvalidFieldError{object, "previous-partition.epoch", "must be below the partition's epoch"}
	}
	if _, err := previous.shardRanges(object, "previous-partition"); err != nil {
		return err
	}
	p.Previous = previous
	return nil
}

func isRatio(value float64) bool {
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
		if !isRatio(r.MinCoverage) || !isRatio(r.Floor) || !isRatio(r.Objective) {
			return &InvalidFieldError{object, field, "min-coverage, floor and objective must lie from 0 to 1"}
		}
		p.Ranks[rank] = RankPolicy{
			Timeout:     identifier.Micros(r.TimeoutMillis) * identifier.Millisecond,
			MinCoverage: identifier.Ratio(r.MinCoverage),
			Floor:       identifier.Ratio(r.Floor),
			Target:      identifier.Micros(r.TargetMillis) * identifier.Millisecond,
			Objective:   identifier.Ratio(r.Objective),
		}
	}
	return nil
}

// shardRanges returns the hash ranges of the shards. It returns an error unless they are
// in ascending order and cover the hash space without gaps or overlaps.
func (p *Partition) shardRanges(object, path string) ([]identifier.HashRange, error) {
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

// EvenPartition returns a partition that divides the hash space evenly among the services, in order.
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
