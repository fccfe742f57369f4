package decide

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"wardturn"
)

// The batches of inHomeOrder must give the same order as sorting all engines by score.
func TestInHomeOrderMatchesSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The small range yields some duplicates.
		hashes := rapid.SliceOfN(rapid.Uint64Range(0, 40), 0, 300).Draw(t, "hashes")
		var list []*Member
		for i, h := range hashes {
			list = append(list, &Member{
				Member: wardturn.Member{
					ID: wardturn.UpstreamID(fmt.Sprint("e", i)),
				},
				hash: h,
			})
		}
		key := wardturn.ModelAdapter{
			Adapter: wardturn.AdapterID(rapid.String().Draw(t, "adapter")),
		}
		h := hashString(string(key.Adapter))
		want := slices.Clone(list)
		slices.SortFunc(want, func(x, y *Member) int {
			return rankedEngine{engine: x, score: mix(h ^ x.hash)}.compare(rankedEngine{engine: y, score: mix(h ^ y.hash)})
		})
		if got := slices.Collect(inHomeOrder(key, list)); !slices.Equal(got, want) {
			t.Fatalf("%d engines: not in order", len(list))
		}
	})
}
