package tmintake

// submission is what the submissions of one job at this node that are under way know of each
// other. A refusal of one says that the job never runs, which the write of another could belie.
type submission struct {
	// underWay counts the submissions, writes those among them and those that ended meanwhile
	// whose write has been carried out or may be.
	underWay, writes int
	// refused is the refusal of one of them, which then holds for those that have not written.
	refused *BacklogError
}

// enter records that a submission of a job begins. leave must be called when it ends.
func (in *Intake) enter(id string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	s := in.submissions[id]
	if s == nil {
		s = &submission{}
		in.submissions[id] = s
	}
	s.underWay++
}

// leave records that a submission of a job has ended.
func (in *Intake) leave(id string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	s := in.submissions[id]
	if s.underWay--; s.underWay == 0 {
		delete(in.submissions, id)
	}
}

// beginWrite records that a submission of a job is about to write, and reports whether an earlier
// one may have stored it. If another one was refused before any has written, it returns that
// refusal, and the job must not be written.
func (in *Intake) beginWrite(id string) (inDoubt bool, err error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	s := in.submissions[id]
	if s.refused != nil {
		return false, s.refused
	}
	s.writes++
	return in.gate.IsInDoubt(id, in.millis()), nil
}

// tryRefuse records the refusal of a job that a read, begun after enter, has not shown. It reports
// false if the job may be stored all the same: another submission writes or has written it, or an
// earlier one got no answer.
func (in *Intake) tryRefuse(id string, refusal *BacklogError) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	s := in.submissions[id]
	if s.writes > 0 || in.gate.IsInDoubt(id, in.millis()) {
		return false
	}
	s.refused = refusal
	return true
}

// endWrite records that certainly nothing was stored by a submission of a job. It reports whether
// the job may be stored all the same, by another submission.
func (in *Intake) endWrite(id string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	s := in.submissions[id]
	s.writes--
	return s.writes > 0 || in.gate.IsInDoubt(id, in.millis())
}
