package revisionfloor_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/revisionfloor"
)

func TestOneReadAnswersOnlyEarlierQuestions(t *testing.T) {
	broker := &revisionfloor.Broker{}
	var got []uint64
	waiter := func(reply *lapisv1.FloorReply) { got = append(got, reply.GetRevision()) }
	assert.Assert(t, broker.Ask(waiter), "the first request starts a read")
	assert.Assert(t, !broker.Ask(waiter), "a request during a read waits for the next read")
	assert.Assert(t, broker.Answer(&lapisv1.FloorReply{Revision: 7}))
	assert.DeepEqual(t, got, []uint64{7})
	assert.Assert(t, !broker.Answer(&lapisv1.FloorReply{Revision: 8}))
	assert.DeepEqual(t, got, []uint64{7, 8})
	assert.Assert(t, !broker.Pending())
}

func TestAbortedReadIsAskedAgain(t *testing.T) {
	broker := &revisionfloor.Broker{}
	answers := 0
	broker.Ask(func(*lapisv1.FloorReply) { answers++ })
	assert.Assert(t, broker.Abort())
	broker.Answer(&lapisv1.FloorReply{})
	assert.Equal(t, answers, 1)
}

func TestDuringOutage(t *testing.T) {
	cases := []struct {
		name      string
		view      revisionfloor.ReaderView
		revision  uint64
		available bool
	}{
		{"alone of one", revisionfloor.ReaderView{Head: 5, KnownReaders: 1}, 5, true},
		{"minority", revisionfloor.ReaderView{Head: 5, PeerHeads: []uint64{6}, KnownReaders: 4}, 0, false},
		{"majority", revisionfloor.ReaderView{Head: 5, PeerHeads: []uint64{6, 4}, KnownReaders: 4}, 6, true},
		{"subtree is ahead", revisionfloor.ReaderView{Head: 5, SubtreeHighest: 9, PeerHeads: []uint64{6}, KnownReaders: 3}, 9, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			reply := revisionfloor.DuringOutage(test.view)
			assert.Equal(t, reply.GetRevision(), test.revision)
			assert.Equal(t, !reply.GetUnavailable(), test.available)
		})
	}
}
