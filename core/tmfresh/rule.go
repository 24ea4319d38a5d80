package tmfresh

// ruleSet is a set of safety rules that a test disables to check that the
// property test finds the violation. It is always empty outside tests.
type ruleSet uint

const (
	// ruleExpiryWait waits for earlier freshness to expire once every majority
	// includes a member that acknowledged the version.
	ruleExpiryWait ruleSet = 1 << iota
	// ruleRequestTime counts freshness from when the request was sent, not from
	// when the answer was received.
	ruleRequestTime
	// ruleAnswerVersion ignores answers that report a higher version.
	ruleAnswerVersion
	// ruleTableVersion ignores table reads that returned another version.
	ruleTableVersion
	// ruleMajority requires a majority, not just any one other member.
	ruleMajority
	// rulePreviousMembers requires acknowledgement by the previous members as
	// well.
	rulePreviousMembers
	// ruleMembersOnly denies freshness to a process that isn't a member.
	ruleMembersOnly
)

func (s ruleSet) has(r ruleSet) bool { return s&r != 0 }
