package evacuation

// mutation switches off single rules, as in mutation testing. Only tests set it, to show that
// the property test detects the loss of each rule.
var mutation struct{ ignoreRevision, keepMissing bool }
