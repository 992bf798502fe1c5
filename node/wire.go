package node

import (
	"time"

	"egretdrum.example/epoch"
	"egretdrum.example/lease"
	"egretdrum.example/slot"
)

// Kinds of messages between entry hosts that the Node sends and receives.
const (
	kindHeartbeat        = "heartbeat"
	kindEpoch            = "epoch"
	kindCredit           = "credit"
	kindSlots            = "slots"
	kindGrants           = "grants"
	kindGrantsCheck      = "grants-check"
	kindOwnerSyncRequest = "owner-sync-ask"
	kindOwnerSync        = "owner-sync"
	kindHandOver         = "hand-over"
	kindHandOverAck      = "hand-over-ack"
	kindReclaimRequest   = "reclaim-ask"
	kindReclaimConfirm   = "reclaim-confirm"
	kindClaim            = "claim"
	kindClaimReply       = "claim-reply"
	kindClaimEnd         = "claim-end"
	kindClaimSyncRequest = "claim-sync-ask"
	kindClaimSync        = "claim-sync"
)

// heartbeat is sent to each peer every HeartbeatInterval; its keys are numbers to keep it
// small.
type heartbeat struct {
	Lease lease.Heartbeat `cbor:"1,keyasint"`
	// Free lists the free slots of the sender's minions, for the pools where the number
	// changed.
	Free []poolSlots `cbor:"2,keyasint,omitempty"`
	// Synced is the number of the member list for which the sender has all request ids that
	// it is a witness of.
	Synced uint64 `cbor:"3,keyasint,omitempty"`
}

type poolSlots struct {
	Pool string `cbor:"1,keyasint"`
	Free int    `cbor:"2,keyasint"`
}

// slotsMessage is sent by a sender of requests to a slot owner.
type slotsMessage struct {
	Demands  []slot.Demand `cbor:"demands,omitempty"`
	Binds    []bind        `cbor:"binds,omitempty"`
	Releases []release     `cbor:"releases,omitempty"`
	// Reports carry the outcomes of requests that may still be running.
	Reports []release `cbor:"reports,omitempty"`
}

// bind tells the owner the maximum time for which a grant may be in use; without it the owner
// assumes the longest timeout. The time is relative, because clocks are not synchronized.
type bind struct {
	ID      uint64        `cbor:"id"`
	Timeout time.Duration `cbor:"timeout"`
}

type release struct {
	ID      uint64       `cbor:"id"`
	Outcome slot.Outcome `cbor:"outcome"`
}

// grantsMessage is sent by a slot owner to a sender of requests.
type grantsMessage struct {
	Grants []slot.Grant `cbor:"grants"`
}

// grantsCheck asks a sender whether it still holds old grants; the sender releases those that
// it does not hold. This recovers from the loss of releases and grants with a connection.
type grantsCheck struct {
	IDs []uint64 `cbor:"ids"`
}

// ownerSync answers an ownerSyncRequest: the sender has adopted the epoch and transfers the
// grant tables of the minions that the receiver owns in it.
type ownerSync struct {
	Epoch uint64     `cbor:"epoch"`
	Table slot.Table `cbor:"table"`
}

type ownerSyncRequest struct {
	Epoch uint64 `cbor:"epoch"`
}

// handOver transfers the grant tables of a host that leaves to the next owner.
type handOver struct {
	Number uint64     `cbor:"number"`
	Table  slot.Table `cbor:"table"`
}

type handOverAck struct {
	Number uint64 `cbor:"number"`
}

// epochMessage carries the epoch document in its stored form.
type epochMessage struct {
	Document []byte `cbor:"document"`
}

// reclaimConfirm answers a reclaim-ask.
type reclaimConfirm struct {
	Confirm epoch.ReclaimConfirmation `cbor:"confirm"`
}
