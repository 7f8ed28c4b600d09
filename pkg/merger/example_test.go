package merger_test

import (
	"fmt"

	"github.com/lagooncleat/lagooncleat/pkg/merger"
)

func Example() {
	m := merger.New(2)
	m.Add([]byte("record-000000001record-000000003"))
	m.Add([]byte("record-000000002"))
	fmt.Println(string(m.Merged()))
	// Output: record-000000003record-000000002
}
