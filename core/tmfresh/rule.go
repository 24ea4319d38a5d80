package tmfresh

// ruleSet names mechanisms that a test switches off to see that the property
// test finds the violation. It is always empty outside tests.
type ruleSet uint

const (
	// ruleForceWait is the wait for F after every majority is blocked.
	ruleForceWait ruleSet = 1 << iota
	// ruleQuestionTime counts freshness from the question, not the answer.
	ruleQuestionTime
	// ruleAnswerVersion ignores answers that report a higher version.
	ruleAnswerVersion
	// ruleTableVersion ignores table reads that returned another version.
	ruleTableVersion
	// ruleMajority asks for a majority, not for any one other member.
	ruleMajority
	// rulePrevious asks the previous members for acknowledgement as well.
	rulePrevious
	// ruleMembersOnly denies freshness to a process that is not a member.
	ruleMembersOnly
)

func (s ruleSet) has(r ruleSet) bool { return s&r != 0 }
