package epoch

import "fmt"

// DecodeError reports a malformed document and the place of the error in it.
type DecodeError struct {
	Place string
	Err   error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("epoch document: %s: %v", e.Place, e.Err) }
func (e *DecodeError) Unwrap() error { return e.Err }

// BoundError reports a document that exceeds one of its bounds.
type BoundError struct {
	Field       string
	Size, Limit int
}

func (e *BoundError) Error() string {
	return fmt.Sprintf("epoch document: %s has size %d; accepted: at most %d", e.Field, e.Size, e.Limit)
}

// MemberError reports a step that is not valid for a member.
type MemberError struct {
	Member  ID
	Problem string
}

func (e *MemberError) Error() string { return fmt.Sprintf("epoch member %s: %s", e.Member, e.Problem) }

// ReclaimError reports why a member must not be removed yet: members that have not
// confirmed may still have given it enough leases for a majority.
type ReclaimError struct {
	Member            ID
	Unconfirmed, Size int
}

func (e *ReclaimError) Error() string {
	return fmt.Sprintf("reclaim of %s: %d members have not confirmed, which allows a majority of %d members",
		e.Member, e.Unconfirmed, e.Size)
}
