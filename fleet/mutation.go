package fleet

// mutation switches off single safety rules. Only mutation tests set it, to show that the
// test of each rule fails without the rule.
var mutation struct {
	ignoreBefore, acceptGap, skipValidation, skipMoveCheck, skipOverlapCheck bool
}
