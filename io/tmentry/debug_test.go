package tmentry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmrequest"
	"turmericmoor/io/tmentry"
	"turmericmoor/io/tmoperator"
)

func TestDebug(t *testing.T) {
	c := &cut{}
	f := newFleetWith(t, 3, c.filter)
	f.configure(24)
	f.entries[2].Disable(tmentry.Freshness)
	l := f.startLoad(4, tmrequest.Params{Idempotent: true, Timeout: 4000}, 30)
	f.eventually(5*time.Second, "work runs", func() bool { return l.ok.Load() > 50 })
	fmt.Println("before", len(f.starts()))
	f.isolate(c, 2)
	for range 6 {
		time.Sleep(500 * time.Millisecond)
		fmt.Println("isolated", len(f.starts()))
	}
	_, _ = f.entries[0].Apply(context.Background(), tmoperator.ChangeRequest{ID: uuid.NewString(), Changes: []tmchange.Change{tmchange.WithdrawKey{Label: "first"}}})
	for range 6 {
		time.Sleep(500 * time.Millisecond)
		fmt.Println("withdrawn", len(f.starts()))
	}
	d, _ := f.entries[2].Dump(context.Background())
	fmt.Println(string(d))
}
