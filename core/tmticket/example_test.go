package tmticket_test

import (
	"fmt"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmticket"
)

// A ticket is for one lifetime of an endpoint: after a restart the policy has to be asked again.
func ExampleBook() {
	var b tmticket.Book[string]
	first := tmticket.Lifetime[string]{Endpoint: "e1", Number: 0}
	second := tmticket.Lifetime[string]{Endpoint: "e1", Number: 1}
	now := tmclock.Millis(1000)
	b.Permit(first, tmticket.Ticket{Token: "t", Validity: 3 * tmclock.Second, AskedAt: now, AnsweredAt: now + 20})

	fmt.Println(b.Token(first, now+20))
	fmt.Println(b.MayAsk(first, now+20), b.MayAsk(second, now+20))
	fmt.Println(b.Token(first, now+3000))
	fmt.Println(b.Permits(first))
	// Output:
	// t true
	// false true
	//  false
	// true
}
