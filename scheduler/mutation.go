package scheduler

// mutation switches off single rules, as in mutation testing. Only tests set it, to show that
// the property test detects the loss of each rule.
var mutation struct {
	ignoreCapacity, ignoreLimit, ignoreDependencies, ignoreAttempts, ignoreCancel bool

	ignoreUnknown, acknowledgeEarly, keepFence, extendUnresponsive, restartRuns bool

	recordUnknown, useRecorded, ignorePoolUse, ignoreMayMiss, ignoreEvacuation, ignoreReservations bool

	keepUnsent, countShrunk bool

	expireRestricted, startLate, useBarred, ignorePollLimit, ignoreLeaseBeforeAnswer bool

	ignoreCrashes, ignoreIsolation, ignoreDurability bool

	trustFullListing bool
}
