// Package membership decides, from partial and lagging knowledge, which daemon
// to take as parent and which machines may become readers. Its decisions are
// pure: the clock and the randomness are passed in.
package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/shared/rendezvous"
)

// Bounds of what is remembered.
const (
	maxKnown       = 64
	failurePenalty = 3 * time.Second
	maxPenalty     = 60 * time.Second
)

// candidate is a daemon that may serve as parent.
type candidate struct {
	address   string
	node      string
	zone      string
	region    string
	failures  int
	notBefore time.Time
	// lastNamed orders candidates for forgetting.
	lastNamed time.Time
}

// Candidates remembers daemons that may serve as parent. It is not safe for
// concurrent use.
type Candidates struct {
	zone   string
	region string
	self   string
	known  map[string]*candidate
	random *rand.Rand
	// redirects are addresses to try first, once.
	redirects []string
	// refusals counts the daemons that did not accept since the last success.
	refusals uint32
	// detached counts the daemons that had no way to a reader themselves since
	// the last success.
	detached int
}

// remoteAfter is the number of daemons without a way to a reader after which
// other zones are tried: then it is likely the zone that has lost its readers.
const remoteAfter = 3

// NewCandidates returns the knowledge of a daemon at address self, started from
// the configured seeds, which are taken to be of the own zone.
func NewCandidates(self, zone, region string, seeds []string, random *rand.Rand) *Candidates {
	candidates := &Candidates{zone: zone, region: region, self: self, known: map[string]*candidate{}, random: random}
	for _, seed := range seeds {
		candidates.remember(&lapisv1.PeerAddress{Address: seed, Zone: zone, Region: region}, time.Time{})
	}
	return candidates
}

// Learn adds daemons named by others.
func (c *Candidates) Learn(peers []*lapisv1.PeerAddress, now time.Time) {
	for _, peer := range peers {
		c.remember(peer, now)
	}
	c.forgetExcess()
}

// Redirect adds daemons to try first.
func (c *Candidates) Redirect(peers []*lapisv1.PeerAddress, now time.Time) {
	c.Learn(peers, now)
	for _, peer := range peers {
		if peer.GetAddress() != c.self {
			c.redirects = append(c.redirects, peer.GetAddress())
		}
	}
}

func (c *Candidates) remember(peer *lapisv1.PeerAddress, now time.Time) {
	address := peer.GetAddress()
	if address == c.self || address == "" {
		return
	}
	known, ok := c.known[address]
	if !ok {
		known = &candidate{address: address}
		c.known[address] = known
	}
	known.lastNamed = now
	if peer.GetNode() != "" {
		known.node = peer.GetNode()
	}
	if peer.GetZone() != "" {
		known.zone = peer.GetZone()
		known.region = peer.GetRegion()
	}
}

// forgetExcess drops the candidates named longest ago.
func (c *Candidates) forgetExcess() {
	for len(c.known) > maxKnown {
		var oldest *candidate
		for _, known := range c.known {
			if oldest == nil || known.lastNamed.Before(oldest.lastNamed) {
				oldest = known
			}
		}
		delete(c.known, oldest.address)
	}
}

// Refusals returns the number of daemons that did not accept since the last
// success.
func (c *Candidates) Refusals() uint32 { return c.refusals }

// Failed notes that address did not accept; it is avoided for a growing time.
func (c *Candidates) Failed(address string, now time.Time) {
	c.refusals++
	known, ok := c.known[address]
	if !ok {
		return
	}
	known.failures++
	penalty := min(failurePenalty<<min(known.failures-1, 6), maxPenalty)
	known.notBefore = now.Add(penalty/2 + time.Duration(c.random.Int64N(int64(penalty/2))))
}

// Postponed notes that address is alive but asked to come back later.
func (c *Candidates) Postponed(address string, wait time.Duration, now time.Time) {
	c.refusals++
	if known, ok := c.known[address]; ok {
		known.notBefore = now.Add(wait)
	}
}

// Detached notes that a daemon had no way to a reader.
func (c *Candidates) Detached() { c.detached++ }

// Succeeded notes that address accepted.
func (c *Candidates) Succeeded(address string) {
	c.redirects = nil
	c.detached = 0
	c.refusals = 0
	if known, ok := c.known[address]; ok {
		known.failures = 0
		known.notBefore = time.Time{}
	}
}

// Choice is a daemon to try as parent.
type Choice struct {
	Address string
	// Redirected is true when another daemon named it.
	Redirected bool
}

// Next returns the daemon to try now: a redirect first, then a random daemon
// of the own zone, then, when the zone seems to have lost its readers, one of
// the own region, then any. ok is false when none may be tried now.
func (c *Candidates) Next(now time.Time) (choice Choice, ok bool) {
	if address, ok := c.nextRedirect(now); ok {
		return Choice{Address: address, Redirected: true}, true
	}
	localKnown := false
	var local, near, far []string
	for _, known := range c.known {
		localKnown = localKnown || known.zone == c.zone
		switch {
		case now.Before(known.notBefore):
		case known.zone == c.zone:
			local = append(local, known.address)
		case known.region == c.region:
			near = append(near, known.address)
		default:
			far = append(far, known.address)
		}
	}
	choices := [][]string{local}
	if !localKnown || c.detached >= remoteAfter {
		choices = [][]string{local, near, far}
	}
	for _, addresses := range choices {
		if len(addresses) > 0 {
			return Choice{Address: c.pick(addresses)}, true
		}
	}
	return Choice{}, false
}

// nextRedirect returns the first daemon that others named and that may be tried
// now. One that has just refused waits like any other: daemons that name each
// other would otherwise be asked in a tight circle.
func (c *Candidates) nextRedirect(now time.Time) (address string, ok bool) {
	for len(c.redirects) > 0 {
		address = c.redirects[0]
		c.redirects = c.redirects[1:]
		if known, remembered := c.known[address]; !remembered || !now.Before(known.notBefore) {
			return address, true
		}
	}
	return "", false
}

// pick chooses at random among addresses; sorting first makes a seeded run
// repeatable.
func (c *Candidates) pick(addresses []string) string {
	slices.Sort(addresses)
	return addresses[c.random.IntN(len(addresses))]
}

// Rank returns the position of node among the live machines of its zone in the
// order in which they may become readers of seat, and the number of machines.
// All daemons with the same list compute the same order.
func Rank(machines []objectapi.Machine, node, seat string) (rank, total int) {
	own := rendezvous.Score(seat, node)
	for _, machine := range machines {
		if machine.State != objectapi.MachineLive {
			continue
		}
		total++
		if machine.Node != node && rendezvous.Score(seat, machine.Node) > own {
			rank++
		}
	}
	return rank, total
}

// MayTakeSeat reports whether a daemon of the given rank may try for a seat
// after so many rounds without a parent. The window doubles each round, so
// that a list full of dead machines delays the takeover only a little while
// thousands of daemons never try at once.
func MayTakeSeat(rank, rounds int) bool {
	const firstWindow = 3
	const maxDoublings = 16
	return rank < firstWindow<<min(rounds, maxDoublings)
}
