package digest_test

import (
	"fmt"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/digest"
)

// A state receives the facts that it lacks from another one; a second exchange sends nothing.
func ExampleState() {
	breno, edolo := digest.NewState("entry-1"), digest.NewState("entry-2")
	breno.Put(rail.FactBrake, "frames/v2", "failed")
	for range 2 {
		batches, _ := breno.Missing(edolo.Summary(false))
		for _, f := range edolo.Merge(batches) {
			fmt.Println(f.Key().Origin(), f.Key().Kind(), f.Key().Subject(), f.Value())
		}
		fmt.Println(len(batches), "sent")
	}
	// Output:
	// entry-1 brake frames/v2 failed
	// 1 sent
	// 0 sent
}
