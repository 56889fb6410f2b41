package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

const (
	// maxKnown is the number of daemons remembered. It must be larger than what one welcome names,
	// and bounds what a long run collects.
	maxKnown = 64
	// failurePenalty is the longest time for which a daemon that could not be reached is avoided
	// after the first failure; the shortest is half of it. It doubles with each failure up to
	// maxPenalty. The shortest must be larger than the wait after a refusal, so that daemons that
	// answer are asked first.
	failurePenalty = 3 * time.Second
	maxPenalty     = 60 * time.Second
	// maxPenaltyDoublings keeps the shift of failurePenalty from overflowing; maxPenalty
	// is reached before.
	maxPenaltyDoublings = 6
	// remoteAfter is the number of daemons without a path to a reader after which other zones are
	// tried, because the own zone has probably lost its readers. It must be larger than the readers
	// of a zone. Trying other zones at all shortened the recovery from the loss of both readers of
	// a zone from 7296 to 565 ms (400 daemons in 4 zones on one machine of 8 cores).
	remoteAfter = 3
)

// candidate is a daemon that may serve as parent.
type candidate struct {
	address string
	zone    string
	region  string
	// failures in a row; the daemon is avoided until notBefore.
	failures  int
	notBefore time.Time
	// lastNamed orders candidates for forgetting.
	lastNamed time.Time
}

// Candidates remembers daemons that may serve as parent. It is not safe for concurrent use.
type Candidates struct {
	zone   string
	region string
	self   string
	known  map[string]*candidate
	random *rand.Rand
	// redirects are addresses to try first, once each.
	redirects []string
	// refusals counts the daemons that did not accept since the last success, detached those
	// among them that had no path to a reader.
	refusals uint32
	detached int
}

// NewCandidates returns what a daemon at address self knows at its start: the configured
// seeds, which are taken to be of its own zone.
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

// Refusals returns the number of daemons that did not accept since the last success.
func (c *Candidates) Refusals() uint32 { return c.refusals }

// Failed records that address could not be reached or did not greet.
func (c *Candidates) Failed(address string, now time.Time) {
	c.refusals++
	known, ok := c.known[address]
	if !ok {
		return
	}
	known.failures++
	longest := penalty(known.failures)
	known.notBefore = now.Add(longest/2 + time.Duration(c.random.Int64N(int64(longest/2))))
}

// penalty returns the longest time for which a daemon is avoided after so many
// failures, at least 1.
func penalty(failures int) time.Duration {
	return min(failurePenalty<<min(failures-1, maxPenaltyDoublings), maxPenalty)
}

// Refused records a refusal by address: the daemons that it names are tried first, and address
// itself no sooner than the refusal allows.
func (c *Candidates) Refused(address string, refusal *lapisv1.Refusal, now time.Time) {
	c.Redirect(refusal.GetCandidates(), now)
	if result.Code(refusal.GetCode()) == result.DistributionDetached {
		c.Detached()
	}
	c.Postponed(address, time.Duration(refusal.GetRetryAfterMillis())*time.Millisecond, now)
}

// Postponed records that address is alive but is not to be tried again before wait is over.
func (c *Candidates) Postponed(address string, wait time.Duration, now time.Time) {
	c.refusals++
	if known, ok := c.known[address]; ok {
		known.notBefore = now.Add(wait)
	}
}

// Detached records that a daemon had no path to a reader.
func (c *Candidates) Detached() { c.detached++ }

// Succeeded records that address accepted.
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

// Next returns the daemon to try now; ok is false when none may be tried. Daemons that
// are still being avoided are left out. In this order:
//
//  1. A daemon that another one named, because it is likely to have room.
//  2. A random daemon of the own zone.
//  3. Only when no daemon of the own zone is known, or remoteAfter daemons had no path
//     to a reader: a random one of the own region, then of any. A change should cross
//     zones once for each reader and not for each daemon.
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
// other would otherwise be tried in a tight loop, which brought one daemon 3344
// joins in a second (4000 daemons on one machine of 8 cores, 30% restarted).
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

// pick chooses at random among addresses; sorting first makes a seeded run repeatable.
func (c *Candidates) pick(addresses []string) string {
	slices.Sort(addresses)
	return addresses[c.random.IntN(len(addresses))]
}
