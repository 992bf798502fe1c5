package claim

// Names for log lines and operators; index 0 is the zero value of each type.
var (
	outcomeNames  = []string{"none", "accepted", "known", "not-ready", "full", "other-epoch"}
	stateNames    = []string{"none", "running", "unknown", "finished"}
	decisionNames = []string{"wait", "send", "duplicate", "refuse"}
)

func (o Outcome) String() string  { return name(outcomeNames, int(o)) }
func (s State) String() string    { return name(stateNames, int(s)) }
func (d Decision) String() string { return name(decisionNames, int(d)) }

// name returns the name of a value. Values unknown to this version, which a newer peer may
// send, are named "other".
func name(names []string, i int) string {
	if i >= len(names) {
		return "other"
	}
	return names[i]
}
