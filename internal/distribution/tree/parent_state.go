package tree

import (
	"context"

	"github.com/qmuntal/stateless"
)

// linkState is the state of a node's link to its parent.
type linkState string

const (
	// linkSearching has no parent and looks for one.
	linkSearching linkState = "searching"
	// linkGreeting has sent a Hello and waits for the answer.
	linkGreeting linkState = "greeting"
	// linkAttached has a parent with a path to a reader.
	linkAttached linkState = "attached"
	// linkStranded has a parent that lost its own path to a reader.
	linkStranded linkState = "stranded"
)

type linkTrigger string

const (
	linkDialed   linkTrigger = "dialed"
	linkWelcomed linkTrigger = "welcomed"
	linkDetached linkTrigger = "detached"
	linkRejoined linkTrigger = "rejoined"
	linkLost     linkTrigger = "lost"
)

// newLinkMachine returns the state machine of a parent link.
func newLinkMachine() *stateless.StateMachine {
	machine := stateless.NewStateMachine(linkSearching)
	machine.Configure(linkSearching).
		Permit(linkDialed, linkGreeting).
		Ignore(linkLost)
	machine.Configure(linkGreeting).
		Permit(linkWelcomed, linkAttached).
		Permit(linkLost, linkSearching)
	machine.Configure(linkAttached).
		Permit(linkDetached, linkStranded).
		Permit(linkLost, linkSearching).
		Ignore(linkRejoined)
	machine.Configure(linkStranded).
		Permit(linkRejoined, linkAttached).
		Permit(linkLost, linkSearching).
		Ignore(linkDetached)
	return machine
}

// fireLink moves the machine. A trigger that the present state does not permit is a
// programming error, which is returned and ends the link.
func fireLink(machine *stateless.StateMachine, trigger linkTrigger) error {
	return machine.FireCtx(context.Background(), trigger)
}
