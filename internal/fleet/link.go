package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/callmux"
	"github.com/lapisvane/lapisvane/internal/pause"
	"github.com/lapisvane/lapisvane/internal/result"
)

// Times of the connections between daemons.
const (
	connectTimeout  = time.Second
	reconnectMin    = 50 * time.Millisecond
	reconnectMax    = time.Second
	reconnectFactor = 2
	// forgetAfter is how long the instances of a daemon that cannot be reached
	// are remembered.
	forgetAfter = 30 * time.Second
	// catchUpDelay is how long the configuration source is given before
	// another daemon is asked for a version that it announced.
	catchUpDelay = 400 * time.Millisecond
)

// maintain keeps a connection to a peer until ctx ends.
func (f *Fleet) maintain(ctx context.Context, member *peer) {
	wait := reconnectMin
	for ctx.Err() == nil {
		link, err := f.connect(ctx, member)
		if err == nil {
			wait = reconnectMin
			f.converse(ctx, member, link)
			continue
		}
		if !f.waitFor(ctx, member, f.jitter(wait)) {
			return
		}
		wait = min(wait*reconnectFactor, reconnectMax)
	}
}

// waitFor waits until the peer may be tried again.
func (f *Fleet) waitFor(ctx context.Context, member *peer, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-member.wake:
		// A peer that has just connected to this daemon is there; any other
		// reason to wake is no reason to hurry.
		return pause.For(ctx, reconnectMin)
	case <-ctx.Done():
		return false
	}
}

func (f *Fleet) connect(ctx context.Context, member *peer) (callmux.Link, error) {
	f.mutex.Lock()
	address := member.Address
	f.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	link, err := f.config.Calls.Connect(ctx, address, func(frame *lapisv1.CallFrame) { f.receive(member.Node, nil, frame) })
	if err != nil {
		return callmux.Link{}, err
	}
	f.mutex.Lock()
	member.renewed(link.Incarnation())
	member.connected = true
	member.link = link
	f.mutex.Unlock()
	f.config.Logger.Info("fleet.connected", "member", member.Node, "address", address, "incarnation", link.Incarnation())
	signal(f.changed)
	return link, nil
}

// converse announces this daemon on a connection until it ends.
func (f *Fleet) converse(ctx context.Context, member *peer, link callmux.Link) {
	defer f.lost(member)
	stop := context.AfterFunc(ctx, func() { link.Close(result.Errorf(result.CallUnknownOutcome, "the daemon stops")) })
	defer stop()
	f.mutex.Lock()
	introduction := f.introduction(member)
	f.mutex.Unlock()
	if link.Send(&lapisv1.CallFrame{Body: &lapisv1.CallFrame_Introduction{Introduction: introduction}}) != nil {
		return
	}
	for {
		f.mutex.Lock()
		announcement := f.announcement()
		f.mutex.Unlock()
		if link.Send(frameOf(announcement)) != nil {
			return
		}
		select {
		case <-link.Closed():
			return
		case <-member.wake:
		}
	}
}

func frameOf(announcement *lapisv1.Announcement) *lapisv1.CallFrame {
	return &lapisv1.CallFrame{Body: &lapisv1.CallFrame_Announcement{Announcement: announcement}}
}

// introduction names all known daemons, and the peer's own instances that left;
// the caller holds mutex.
func (f *Fleet) introduction(to *peer) *lapisv1.Introduction {
	introduction := &lapisv1.Introduction{}
	for _, member := range f.members {
		if member != to && member.connected {
			introduction.Members = append(introduction.Members, &lapisv1.PeerAddress{
				Node: member.Node, Address: member.Address, Zone: member.Zone,
			})
		}
	}
	for instance := range to.withdrawn {
		introduction.Withdrawn = append(introduction.Withdrawn, instance)
	}
	slices.Sort(introduction.Withdrawn)
	return introduction
}

func (f *Fleet) lost(member *peer) {
	f.mutex.Lock()
	member.connected = false
	member.lostAt = time.Now()
	f.mutex.Unlock()
	f.config.Logger.Info("fleet.lost", "member", member.Node)
	signal(f.changed)
}

// Accepted takes in a connection that another daemon opened, for
// callmux.Server.
func (f *Fleet) Accepted(hello *lapisv1.Hello, link callmux.Link) func(*lapisv1.CallFrame) {
	node := hello.GetNode()
	if node != f.config.Self.Node && node != "" && hello.GetAddress() != "" {
		f.mutex.Lock()
		if member := f.peerOf(Member{Node: node, Address: hello.GetAddress(), Zone: hello.GetZone()}); member != nil {
			member.renewed(hello.GetIncarnation())
			if !member.connected {
				signal(member.wake)
			}
		}
		announcement := f.announcement()
		f.mutex.Unlock()
		go func() { _ = link.Send(frameOf(announcement)) }()
	}
	return func(frame *lapisv1.CallFrame) { f.receive(node, &link, frame) }
}

// receive takes in a frame from a daemon; answers go over link, nil where none
// are given.
func (f *Fleet) receive(node string, link *callmux.Link, frame *lapisv1.CallFrame) {
	switch body := frame.GetBody().(type) {
	case *lapisv1.CallFrame_Announcement:
		if body.Announcement.GetNode() == node {
			f.announced(body.Announcement)
		}
	case *lapisv1.CallFrame_Introduction:
		for _, member := range body.Introduction.GetMembers() {
			f.learn(Member{Node: member.GetNode(), Address: member.GetAddress(), Zone: member.GetZone()})
		}
		for _, instance := range body.Introduction.GetWithdrawn() {
			f.config.Observer.Withdraw(instance)
		}
	case *lapisv1.CallFrame_ConfigurationRequest:
		f.serveConfiguration(link, body.ConfigurationRequest.GetAbove())
	case *lapisv1.CallFrame_Configuration:
		f.config.Observer.Offer(body.Configuration)
	}
}

func (f *Fleet) serveConfiguration(link *callmux.Link, above uint64) {
	configuration := f.config.InForce()
	if link == nil || configuration.GetRevision() <= above {
		return
	}
	send := *link
	go func() {
		_ = send.Send(&lapisv1.CallFrame{Body: &lapisv1.CallFrame_Configuration{Configuration: configuration}})
	}()
}

// catchUp asks another daemon for the configuration when the source has not
// brought a version that was announced, until ctx ends.
func (f *Fleet) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.behind:
		}
		if f.revision() > 0 && !pause.For(ctx, catchUpDelay) {
			return
		}
		if !f.askNewest() {
			continue
		}
		if !pause.For(ctx, catchUpDelay) {
			return
		}
		if f.newest() != nil {
			signal(f.behind)
		}
	}
}

// askNewest asks the daemon with the newest configuration, of the own zone
// first; it reports false when none has a newer one.
func (f *Fleet) askNewest() bool {
	above := f.revision()
	member := f.newest()
	if member == nil {
		return false
	}
	f.mutex.Lock()
	link := member.link
	f.mutex.Unlock()
	f.config.Logger.Info("fleet.configuration_asked", "member", member.Node, "above", above)
	request := &lapisv1.ConfigurationRequest{Above: above}
	_ = link.Send(&lapisv1.CallFrame{Body: &lapisv1.CallFrame_ConfigurationRequest{ConfigurationRequest: request}})
	return true
}

// newest returns the connected daemon with the newest configuration above the
// one in force here, nil when there is none.
func (f *Fleet) newest() *peer {
	above := f.revision()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var best *peer
	for _, member := range f.members {
		revision := member.announcement.GetRevision()
		if !member.connected || revision <= above {
			continue
		}
		better := best == nil || revision > best.announcement.GetRevision() ||
			(revision == best.announcement.GetRevision() && member.Zone == f.config.Self.Zone && best.Zone != f.config.Self.Zone)
		if better {
			best = member
		}
	}
	return best
}
