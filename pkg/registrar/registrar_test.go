package registrar_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
)

func TestRegistrar(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "registrar")
}

func ranks(timeout int64) []configurer.RankParameters {
	return []configurer.RankParameters{
		{Rank: "urgent", TimeoutMillis: timeout},
		{Rank: "standard", TimeoutMillis: timeout},
		{Rank: "deferrable", TimeoutMillis: timeout},
	}
}

func putTemplate(id string, timeout int64) registrar.Edit {
	return registrar.TemplatePut{Template: configurer.Template{ID: identifier.TemplateID(id), Ranks: ranks(timeout)}}
}

func putCustomer(id, template string) registrar.Edit {
	return registrar.CustomerPut{Customer: configurer.Customer{
		ID: identifier.CustomerID(id), Template: identifier.TemplateID(template),
		Partition: configurer.EvenPartition(1, []identifier.ServiceID{"s"}),
	}}
}

func change(id string, replaces identifier.Version, e registrar.Edit) registrar.Change {
	return registrar.Change{
		ID: identifier.ChangeID(id), Fingerprint: identifier.Fingerprint(replaces), Replaces: replaces, Edit: e,
	}
}

var (
	template = registrar.Name{Kind: registrar.TemplateKind, ID: "t"}
	customer = registrar.Name{Kind: registrar.CustomerKind, ID: "c"}
)

var cases = []struct {
	name    string
	changes []registrar.Change
	last    registrar.Result
	version identifier.Version
}{
	{
		"a first put",
		[]registrar.Change{change("1", 0, putTemplate("t", 5))},
		registrar.Accepted{Target: template, Version: 1},
		1,
	},
	{
		"a resent change that was accepted",
		[]registrar.Change{change("1", 0, putTemplate("t", 5)), change("2", 1, putTemplate("t", 6)), change("1", 0, putTemplate("t", 5))},
		registrar.Accepted{Target: template, Version: 1},
		2,
	},
	{
		"a change that replaces the version that another change has replaced",
		[]registrar.Change{change("1", 0, putTemplate("t", 5)), change("2", 1, putTemplate("t", 6)), change("3", 1, putTemplate("t", 7))},
		registrar.Conflict{Target: template, Current: registrar.Revision{Version: 2, Change: "2", Edit: putTemplate("t", 6)}},
		2,
	},
	{
		"a resent change that conflicted, after the conflicting revision was replaced",
		[]registrar.Change{
			change("1", 0, putTemplate("t", 5)), change("2", 1, putTemplate("t", 6)), change("3", 1, putTemplate("t", 7)),
			change("4", 2, putTemplate("t", 8)), change("3", 1, putTemplate("t", 7)),
		},
		registrar.Conflict{Target: template, Current: registrar.Revision{Version: 2, Change: "2", Edit: putTemplate("t", 6)}},
		3,
	},
	{
		"a different change with a reused id",
		[]registrar.Change{change("1", 0, putTemplate("t", 5)), change("1", 1, putTemplate("t", 6))},
		registrar.Reused{Change: "1"},
		1,
	},
	{
		"a customer whose template does not exist",
		[]registrar.Change{change("1", 0, putCustomer("c", "t"))},
		registrar.Invalid{Target: customer, Object: "customer c", Field: "template", Reason: `template "t" does not exist`},
		0,
	},
	{
		"a template that makes a customer invalid",
		[]registrar.Change{
			change("1", 0, putTemplate("t", 5)), change("2", 0, putCustomer("c", "t")),
			change("3", 1, registrar.TemplatePut{Template: configurer.Template{ID: "t", Ranks: ranks(5)[:2]}}),
		},
		registrar.Invalid{Target: template, Object: "customer c", Field: "ranks", Reason: "no entry for rank deferrable"},
		2,
	},
	{
		"a deletion of a template in use",
		[]registrar.Change{
			change("1", 0, putTemplate("t", 5)), change("2", 0, putCustomer("c", "t")), change("3", 1, registrar.TemplateDeleted{Template: "t"}),
		},
		registrar.Invalid{Target: template, Object: "template t", Field: "template", Reason: "customer c uses it"},
		2,
	},
	{
		"a put that replaces no version after a deletion",
		[]registrar.Change{
			change("1", 0, putTemplate("t", 5)), change("2", 1, registrar.TemplateDeleted{Template: "t"}), change("3", 0, putTemplate("t", 5)),
		},
		registrar.Conflict{Target: template, Current: registrar.Revision{Version: 2, Change: "2", Edit: registrar.TemplateDeleted{Template: "t"}}},
		2,
	},
	{
		"a put that replaces the version of a deletion",
		[]registrar.Change{
			change("1", 0, putTemplate("t", 5)), change("2", 1, registrar.TemplateDeleted{Template: "t"}), change("3", 2, putTemplate("t", 5)),
		},
		registrar.Accepted{Target: template, Version: 3},
		3,
	},
	{
		"an object without an id",
		[]registrar.Change{change("1", 0, putTemplate("", 5))},
		registrar.Invalid{Target: registrar.Name{Kind: registrar.TemplateKind}, Object: "template", Field: "template", Reason: "must not be empty"},
		0,
	},
}

var _ = ginkgo.Describe("a registry", func() {
	for _, c := range cases {
		ginkgo.It("decides "+c.name, func() {
			r := registrar.New()
			var last registrar.Result
			for _, change := range c.changes {
				last = r.Apply(change)
			}
			gomega.Expect(last).To(gomega.Equal(c.last))
			gomega.Expect(r.Catalog().Version()).To(gomega.Equal(c.version))
		})
	}

	ginkgo.It("applies a change once even if it is resent after its result was discarded", func() {
		r := registrar.New()
		first := change("first", 0, putTemplate("t", 5))
		r.Apply(first)
		for i := range registrar.MaxRememberedChanges {
			r.Apply(change(fmt.Sprint(i), identifier.Version(i+1), putTemplate("t", 6)))
		}
		gomega.Expect(r.Apply(first)).To(gomega.BeAssignableToTypeOf(registrar.Conflict{}))
		gomega.Expect(r.History(template)).To(gomega.HaveLen(registrar.MaxHistoryRevisions))
	})

	ginkgo.It("imports only into an empty registry", func() {
		r := registrar.New()
		first := registrar.Import{Version: 7, Templates: []configurer.Template{{ID: "t", Ranks: ranks(5)}}}
		imported, errs := r.Import(0, first)
		gomega.Expect(imported).To(gomega.BeTrue())
		gomega.Expect(errs).To(gomega.BeEmpty())
		imported, _ = r.Import(0, registrar.Import{Version: 9})
		gomega.Expect(imported).To(gomega.BeFalse())
		gomega.Expect(r.Apply(change("1", 7, putTemplate("t", 6)))).To(gomega.Equal(registrar.Accepted{Target: template, Version: 8}))
	})

	ginkgo.It("holds its invariants under racing operators and resends", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) { checkRacingOperators(t) })
	})
})

// checkRacingOperators applies random changes of two templates and two customers that
// replace current, old and future versions, and resends some of them. A copy of the
// registry is restored from its snapshots at random steps, and the catalog of another
// host is synchronized at random steps.
func checkRacingOperators(t *rapid.T) {
	registry, restored, subscriber := registrar.New(), registrar.New(), registrar.NewCatalog()
	var sent []registrar.Change
	originalResults := map[identifier.ChangeID]registrar.Result{}
	replaced := map[registrar.Name]map[identifier.Version]bool{}
	for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
		c := drawChange(t, i, registry.Catalog().Version())
		if len(sent) > 0 && rapid.IntRange(0, 3).Draw(t, "resend") == 0 {
			c = rapid.SampledFrom(sent).Draw(t, "sent")
		}
		sent = append(sent, c)
		before := registry.Catalog().Version()
		result := registry.Apply(c)
		expect(t, fmt.Sprint(restored.Apply(c)) == fmt.Sprint(result), "the restored copy must give the same result")
		previous, resent := originalResults[c.ID]
		if resent {
			expect(t, fmt.Sprint(previous) == fmt.Sprint(result), "a resent change must get its original result")
			expect(t, registry.Catalog().Version() == before, "a resent change must leave the version unchanged")
			continue
		}
		originalResults[c.ID] = result
		accepted, ok := result.(registrar.Accepted)
		if ok {
			target := c.Edit.Target()
			if replaced[target] == nil {
				replaced[target] = map[identifier.Version]bool{}
			}
			expect(t, !replaced[target][c.Replaces], "a version must be replaced at most once")
			replaced[target][c.Replaces] = true
			expect(t, accepted.Version == before+1, "an accepted change must increment the version")
		} else {
			expect(t, registry.Catalog().Version() == before, "a rejected change must leave the version unchanged")
		}
		if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
			restored = registrar.Restore(restored.Snapshot())
		}
		if rapid.Bool().Draw(t, "connected") {
			synchronize(t, registry, subscriber)
		}
	}
	synchronize(t, registry, subscriber)
	expect(t, fmt.Sprint(registry.Snapshot()) == fmt.Sprint(restored.Snapshot()), "the restored copy must have an equal snapshot")
	expect(t, fmt.Sprint(subscriber.Contents()) == fmt.Sprint(registry.Catalog().Contents()), "the subscriber must have equal contents")
	for n := range replaced {
		object, _ := registry.Catalog().Object(n)
		history := registry.History(n)
		expect(t, history[len(history)-1].Version == object.Version, "the history must end at the current revision")
	}
}

// synchronize updates the catalog to the registry's version, as entry hosts without a
// disk do: by revisions if they are still kept, else by the complete contents.
func synchronize(t *rapid.T, r *registrar.Registry, c *registrar.Catalog) {
	revisions, kept := r.Since(c.Version())
	if !kept {
		c.Load(r.Catalog().Contents())
	}
	for _, v := range revisions {
		expect(t, c.Apply(v) == nil, "a later revision must apply")
	}
}

func drawChange(t *rapid.T, step int, latest identifier.Version) registrar.Change {
	id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
	edits := []registrar.Edit{
		putTemplate(id, int64(step+1)), putTemplate(id, 0),
		putCustomer(id, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "template")),
		registrar.TemplateDeleted{Template: identifier.TemplateID(id)},
		registrar.CustomerDeleted{Customer: identifier.CustomerID(id)},
	}
	replaces := identifier.Version(rapid.Uint64Range(0, uint64(latest)+1).Draw(t, "replaces"))
	return change(fmt.Sprintf("change-%d", step), replaces, rapid.SampledFrom(edits).Draw(t, "edit"))
}

func expect(t *rapid.T, holds bool, condition string) {
	if !holds {
		t.Fatal(condition)
	}
}
