package scheduler

// broken switches off single rules. Only tests set it, to show that the property test
// notices the loss of each.
var broken struct {
	ignoreCapacity, ignoreLimit, ignoreOrder, ignoreAttempts, ignoreCancel bool

	ignoreUnknown, noteEarly, keepFence, extendSilent, restartRuns bool

	recordUnknown, useRecorded, ignorePoolUse, ignoreMayMiss bool
}
