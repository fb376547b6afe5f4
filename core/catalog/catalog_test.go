package catalog_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
)

func ExampleAllowedRegions_Allow() {
	all, one := catalog.AllowedRegions{}, catalog.AllowedRegions{"hokkaido": {}}
	fmt.Println(all.Allow("honshu"), one.Allow("hokkaido"), one.Allow("honshu"))
	// Output: true true false
}

// Guards against an evacuation that is undone by a read of the configuration that began before it.
func TestOlderCatalogNeverReplacesANewerOne(t *testing.T) {
	c := qt.New(t)
	at := func(v catalog.Version, r catalog.Revision) *catalog.Catalog {
		return &catalog.Catalog{Version: v, Revision: r}
	}
	c.Check(at(1, 0).Newer(nil), qt.IsTrue)
	c.Check(at(1, 5).Newer(at(1, 4)), qt.IsTrue)
	c.Check(at(1, 4).Newer(at(1, 4)), qt.IsFalse)
	c.Check(at(1, 3).Newer(at(1, 4)), qt.IsFalse)
	c.Check(at(2, 3).Newer(at(1, 4)), qt.IsTrue)
	c.Check(at(1, 9).Newer(at(2, 3)), qt.IsFalse)
}
