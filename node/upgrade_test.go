package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"egretdrum.example/claim"
	"egretdrum.example/credit"
	"egretdrum.example/epoch"
	"egretdrum.example/lease"
	"egretdrum.example/property"
	"egretdrum.example/slot"
)

// The messages that commit 7e6a023 sends for the samples of the test.
const (
	sentHeartbeat  = "a301a6010502020304040605f506f50281a2016770616972696e6702030302"
	sentSlots      = "a46562696e647381a2626964076774696d656f75741a3b9aca006764656d616e647381a6647465616d6674656e677269647a6f6e65656e6f72746866757267656e740167736572766963656770616972696e67686578636c7564656481627732686f7264696e61727902677265706f72747381a262696409676f7574636f6d65036872656c656173657381a262696408676f7574636f6d6502"
	sentGrants     = "a1666772616e747381a66269640764686f737467656e7472792d32647465616d6674656e677269666d696e696f6e62773166757267656e74f567736572766963656770616972696e67"
	sentOwnerSync  = "a26565706f636802657461626c65a2666772616e747381a4636167651a3b9aca00646c6566741b0000000df847580065626f756e64f5656772616e74a66269640764686f737467656e7472792d32647465616d6674656e677269666d696e696f6e62773166757267656e74f567736572766963656770616972696e67676d696e696f6e7381a7656f776e6564f56571756965741ab2d05e00666d696e696f6e62773166757361626c6508676c656176696e671a7735940067736572766963656770616972696e6768656a656374696f6e1a3b9aca00"
	sentHandOver   = "a2657461626c65a2666772616e747381a4636167651a3b9aca00646c6566741b0000000df847580065626f756e64f5656772616e74a66269640764686f737467656e7472792d32647465616d6674656e677269666d696e696f6e62773166757267656e74f567736572766963656770616972696e67676d696e696f6e7381a7656f776e6564f56571756965741ab2d05e00666d696e696f6e62773166757361626c6508676c656176696e671a7735940067736572766963656770616972696e6768656a656374696f6e1a3b9aca00666e756d62657204"
	sentClaim      = "a165636c61696da4636b657950010203000000000000000000000000006565706f636802656f776e6572a36673656e64657267656e7472792d3167617474656d7074096b696e6361726e6174696f6e03676d697373696e6767656e7472792d33"
	sentClaimReply = "a2657265706c79a7636b657950010203000000000000000000000000006565706f636802656f776e6572a36673656e64657267656e7472792d3167617474656d7074096b696e6361726e6174696f6e036573746174650166686f6c64657267656e7472792d34676f7574636f6d65026c6d697373696e672d6c6f7374f5676d697373696e6767656e7472792d33"
	sentClaimEnd   = "a3636b65795001020300000000000000000000000000656f776e6572a36673656e64657267656e7472792d3167617474656d7074096b696e6361726e6174696f6e0365737461746503"
	sentClaimSync  = "a66466726f6d67656e7472792d316565706f636802666e756d6265720167626174636865730267656e747269657381a4636167651a3b9aca00636b65795001020300000000000000000000000000656f776e6572a36673656e64657267656e7472792d3167617474656d7074096b696e6361726e6174696f6e036573746174650268736e617073686f7403"
	sentCredit     = "aa62746f69656e7472792d322f346461736b7381a3647465616d6674656e6772696677616e7465640267686f6c64696e6701646672656581a2616e0c647465616d6674656e6772696466726f6d69656e7472792d312f33656275726e7381a2616e0c647465616d6674656e6772696565706f63680265676976657381a2616e0c647465616d6674656e677269676c656176696e67f5696275726e2d61636b7381a2616e0c647465616d6674656e67726969676976652d61636b7381a2616e0c647465616d6674656e677269"
	sentReclaim    = "a167636f6e6669726da5646c6f73748169656e7472792d322f34647365656ea169656e7472792d332f310265656467657381a5646c6f737469656e7472792d322f34647465616d6674656e67726965676976656e05666275726e656407687265636569766564066565706f636802666d656d62657269656e7472792d312f33"
	sentEpoch      = "a168646f63756d656e74427b7d"
)

func checkMessage[T any](t *testing.T, sent string, want T) {
	t.Helper()
	mode, err := cbor.CoreDetEncOptions().EncMode()
	qt.Assert(t, err, qt.IsNil)
	property.CheckEncoding(t, sent, want,
		func(v T) ([]byte, error) { return mode.Marshal(v) },
		func(b []byte) (v T, err error) { err = cbor.Unmarshal(b, &v); return v, err })
}

// Guards against entry hosts of two builds that misread each other's messages while hosts are
// replaced: heartbeats, slots, claims of request ids, credits and confirmations of reclaims.
func TestMessagesOfOtherBuildsAreRead(t *testing.T) {
	id, owner := claim.Key{1, 2, 3}, claim.Owner{Sender: "entry-1", Incarnation: 3, Attempt: 9}
	grant := slot.Grant{ID: 7, Host: "entry-2", Service: "pairing", Team: "tengri", Urgent: true, Minion: "w1"}
	table := slot.Table{
		Minions: []slot.Health{{Service: "pairing", Minion: "w1", Usable: 8, Owned: true, Ejection: time.Second, Leaving: 2 * time.Second, Quiet: 3 * time.Second}},
		Grants:  []slot.OutstandingGrant{{Grant: grant, Age: time.Second, Left: time.Minute, Bound: true}},
	}
	checkMessage(t, sentHeartbeat, heartbeat{
		Lease: lease.Heartbeat{Number: 5, Epoch: 2, Config: 4, Echo: 6, Granted: true, Reclaiming: true},
		Free:  []poolSlots{{Pool: "pairing", Free: 3}}, Synced: 2,
	})
	checkMessage(t, sentSlots, slotsMessage{
		Demands: []slot.Demand{{Zone: "north", Service: "pairing", Team: "tengri", Urgent: 1, Ordinary: 2, Excluded: []string{"w2"}}},
		Binds:   []bind{{ID: 7, Timeout: time.Second}}, Releases: []release{{ID: 8, Outcome: slot.Failed}}, Reports: []release{{ID: 9, Outcome: slot.Unresponsive}},
	})
	checkMessage(t, sentGrants, grantsMessage{Grants: []slot.Grant{grant}})
	checkMessage(t, sentOwnerSync, ownerSync{Epoch: 2, Table: table})
	checkMessage(t, sentHandOver, handOver{Number: 4, Table: table})
	checkMessage(t, sentClaim, claimMessage{claim.Claim{Key: id, Owner: owner, Epoch: 2, Missing: "entry-3"}})
	checkMessage(t, sentClaimReply, claimReply{claim.Reply{Key: id, Owner: owner, Epoch: 2, Outcome: claim.Known, State: claim.Running, Holder: "entry-4", MissingLost: true}, "entry-3"})
	checkMessage(t, sentClaimEnd, claimEnd{Key: id, Owner: owner, State: claim.Finished})
	checkMessage(t, sentClaimSync, claim.TransferBatch{
		From: "entry-1", Epoch: 2, Snapshot: 3, Number: 1, Batches: 2,
		Entries: []claim.Entry{{Key: id, Owner: owner, State: claim.Unknown, Age: time.Second}},
	})
	amounts := []credit.Amount{{Team: "tengri", N: 12}}
	checkMessage(t, sentCredit, credit.Message{
		From: "entry-1/3", To: "entry-2/4", Epoch: 2, Leaving: true, Gives: amounts, GiveAcks: amounts, Burns: amounts, BurnAcks: amounts, Free: amounts,
		Requests: []credit.Request{{Team: "tengri", Wanted: 2, Holding: 1}},
	})
	checkMessage(t, sentReclaim, reclaimConfirm{epoch.ReclaimConfirmation{
		Member: "entry-1/3", Number: 2, Lost: []epoch.ID{"entry-2/4"}, Seen: map[epoch.ID]uint64{"entry-3/1": 2},
		Edges: []epoch.Edge{{Team: "tengri", Lost: "entry-2/4", Given: 5, Received: 6, Burned: 7}},
	}})
	checkMessage(t, sentEpoch, epochMessage{Document: []byte("{}")})
}
