package registrar_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
)

func Example() {
	r := registrar.New()
	template := configurer.Template{ID: "hangar", Ranks: []configurer.RankParameters{
		{Rank: "urgent", TimeoutMillis: 1000},
		{Rank: "standard", TimeoutMillis: 1000},
		{Rank: "deferrable", TimeoutMillis: 1000},
	}}
	change := registrar.Change{ID: "c-1", Edit: registrar.TemplatePut{Template: template}}
	fmt.Printf("%T\n", r.Apply(change))
	fmt.Printf("%T\n", r.Apply(change))
	change.ID = "c-2"
	fmt.Printf("%T\n", r.Apply(change))
	fmt.Println(r.Catalog().Version())
	// Output:
	// registrar.Accepted
	// registrar.Accepted
	// registrar.Conflict
	// 1
}
