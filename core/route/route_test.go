package route_test

import (
	"testing"

	"pollenscale/core/route"

	"github.com/matryer/is"
)

// TestVersionsNeverGoBack guards against replacing a configuration by an older
// one, which a stale read of the store or a lagging daemon can deliver.
func TestVersionsNeverGoBack(t *testing.T) {
	is := is.New(t)
	var inForce []route.Version
	h := &route.Holder{OnChange: func(_, now *route.Config) { inForce = append(inForce, now.Version) }}
	is.Equal(h.Version(), route.Version(0))
	for _, v := range []route.Version{3, 9, 4, 9, 12, 3} {
		h.SetIfNewer(&route.Config{Version: v}, []byte{byte(v)})
	}
	is.Equal(inForce, []route.Version{3, 9, 12})
	is.Equal(h.Version(), route.Version(12))
	is.Equal(h.Raw(), []byte{12})
}
