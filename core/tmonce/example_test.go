package tmonce_test

import (
	"fmt"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmonce"
)

func ExampleDecide() {
	digest := tmonce.DigestOf([]byte("cleaning"), []byte(`{"step":7}`))
	claim := tmonce.NewClaim("entry-1#4", "n1")
	row := claim.Start(digest)
	fmt.Println(tmonce.Decide(tmonce.Record{}, false, digest, tmonce.OwnerUnknown))
	fmt.Println(tmonce.Decide(row, true, digest, tmonce.OwnerProcessing))
	fmt.Println(tmonce.Decide(row.Finish(tmonce.Ran, 200, []byte("ok")), true, digest, tmonce.OwnerUnknown))
	fmt.Println(tmonce.Decide(row, true, tmonce.DigestOf([]byte("other")), tmonce.OwnerUnknown))
	// Output:
	// start
	// in_progress
	// replay
	// id_reused
}

func ExampleAttempts() {
	var a tmonce.Attempts
	fmt.Println(a.Outcome())
	a.Begin()
	a.Finish(tmonce.Refused)
	fmt.Println(a.Outcome(), a.MayResend(false))
	a.Begin()
	a.Finish(tmonce.Indeterminate)
	fmt.Println(a.Outcome(), a.MayResend(false))
	// Output:
	// not_run
	// not_run true
	// unknown false
}

func ExampleBatch() {
	b := tmonce.NewBatch(tmclock.NewManual(1), 9)
	claim := tmonce.NewClaim("entry-1#4", "n1")
	for _, key := range []string{"a", "b"} {
		_ = b.Add(tmonce.Write{Op: tmonce.Create, Key: key, Record: claim.Start("d")})
	}
	fmt.Println(len(b.Take()))
	for _, r := range b.Conflict("a") {
		fmt.Println(r.Write.Key, r.Status == tmonce.Conflicted)
	}
	fmt.Println(len(b.Take()), b.Committed(5)[0].Revision)
	// Output:
	// 2
	// a true
	// 1 5
}

func ExampleParseID() {
	_, err := tmonce.ParseID("5b0cd5d0-4e39-4d1a-9a5e-0e5d5a2c9f10")
	fmt.Println(err)
	// Output: tmonce: request id "5b0cd5d0-4e39-4d1a-9a5e-0e5d5a2c9f10": not a UUID of version 7; expected a UUIDv7 at most 10m0s old and 1m0s ahead
}
