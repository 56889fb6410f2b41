package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

const (
	// maxCandidates is the maximum number of daemons remembered. It bounds memory in a long run,
	// and must be larger than the number of daemons that one welcome names.
	maxCandidates = 64
	// initialPenalty is the maximum time for which a daemon is avoided after its first connection
	// failure; the minimum is half of it. It doubles with each failure up to maxPenalty. The
	// minimum must be larger than the wait after a refusal, so that daemons that answer are tried
	// first.
	initialPenalty = 3 * time.Second
	maxPenalty     = 60 * time.Second
	// maxPenaltyDoublings keeps the shift of initialPenalty from overflowing. maxPenalty is reached
	// before.
	maxPenaltyDoublings = 6
	// detachedBeforeRemote is the number of daemons without a path to a reader after which other
	// zones are tried, because the own zone has probably lost its readers. It must be larger than
	// the number of readers of a zone. Without trying other zones, recovery from the loss of both
	// readers of a zone took 7296 ms instead of 565 ms (400 daemons in 4 zones on one machine of 8
	// cores).
	detachedBeforeRemote = 3
)

// candidate is a daemon that may serve as parent.
type candidate struct {
	address string
	zone    string
	region  string
	// failures is the number of failures in a row. The daemon is avoided until avoidedUntil.
	failures     int
	avoidedUntil time.Time
	// lastNamedAt is when another daemon last named this one. The oldest candidate is evicted
	// first.
	lastNamedAt time.Time
}

// Candidates remembers daemons that may serve as parent. It is not safe for concurrent use.
type Candidates struct {
	zone      string
	region    string
	self      string
	byAddress map[string]*candidate
	random    *rand.Rand
	// redirects are addresses to try first, once each.
	redirects []string
	// refusals is the number of attempts that failed or were refused since the last success.
	// detached is the number of daemons among them that had no path to a reader.
	refusals uint32
	detached int
}

// NewCandidates returns the initial candidates of the daemon at address self: the configured seeds,
// which are assumed to be in its own zone.
func NewCandidates(self, zone, region string, seeds []string, random *rand.Rand) *Candidates {
	candidates := &Candidates{zone: zone, region: region, self: self, byAddress: map[string]*candidate{}, random: random}
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
	c.evictOldest()
}

// Redirect adds daemons named in a redirect, which Next prefers to all others, once each.
func (c *Candidates) Redirect(peers []*lapisv1.PeerAddress, now time.Time) {
	c.Learn(peers, now)
	for _, peer := range peers {
		if peer.GetAddress() != c.self {
			c.redirects = append(c.redirects, peer.GetAddress())
		}
	}
}

// remember adds a daemon, or updates the one known at the same address. It ignores this daemon
// itself and daemons without an address.
func (c *Candidates) remember(peer *lapisv1.PeerAddress, now time.Time) {
	address := peer.GetAddress()
	if address == c.self || address == "" {
		return
	}
	entry, ok := c.byAddress[address]
	if !ok {
		entry = &candidate{address: address}
		c.byAddress[address] = entry
	}
	entry.lastNamedAt = now
	if peer.GetZone() != "" {
		entry.zone = peer.GetZone()
		entry.region = peer.GetRegion()
	}
}

// evictOldest drops the candidates that were named longest ago, down to maxCandidates.
func (c *Candidates) evictOldest() {
	for len(c.byAddress) > maxCandidates {
		var oldest *candidate
		for _, candidate := range c.byAddress {
			if oldest == nil || candidate.lastNamedAt.Before(oldest.lastNamedAt) {
				oldest = candidate
			}
		}
		delete(c.byAddress, oldest.address)
	}
}

// Refusals returns the number of attempts that failed or were refused since the last success.
func (c *Candidates) Refusals() uint32 { return c.refusals }

// Failed records that address could not be reached or did not complete the handshake.
func (c *Candidates) Failed(address string, now time.Time) {
	c.refusals++
	entry, ok := c.byAddress[address]
	if !ok {
		return
	}
	entry.failures++
	maxDelay := penalty(entry.failures)
	entry.avoidedUntil = now.Add(maxDelay/2 + time.Duration(c.random.Int64N(int64(maxDelay/2))))
}

// penalty returns the maximum time for which a daemon is avoided after a number of failures, which
// is at least 1.
func penalty(failures int) time.Duration {
	return min(initialPenalty<<min(failures-1, maxPenaltyDoublings), maxPenalty)
}

// Refused records a refusal by address. The daemons named in it are tried first, and address itself
// only after the refusal's retry delay.
func (c *Candidates) Refused(address string, refusal *lapisv1.Refusal, now time.Time) {
	c.Redirect(refusal.GetCandidates(), now)
	if result.Code(refusal.GetCode()) == result.DistributionDetached {
		c.Detached()
	}
	c.RetryAfter(address, time.Duration(refusal.GetRetryAfterMillis())*time.Millisecond, now)
}

// RetryAfter records that address is alive but must not be tried again before wait has passed.
func (c *Candidates) RetryAfter(address string, wait time.Duration, now time.Time) {
	c.refusals++
	if entry, ok := c.byAddress[address]; ok {
		entry.avoidedUntil = now.Add(wait)
	}
}

// Detached records that a daemon had no path to a reader.
func (c *Candidates) Detached() { c.detached++ }

// Succeeded records that address accepted this daemon as a child.
func (c *Candidates) Succeeded(address string) {
	c.redirects = nil
	c.detached = 0
	c.refusals = 0
	if entry, ok := c.byAddress[address]; ok {
		entry.failures = 0
		entry.avoidedUntil = time.Time{}
	}
}

// Choice is a daemon to try as parent.
type Choice struct {
	Address string
	// Redirected is true if another daemon named it.
	Redirected bool
}

// Next returns the daemon to try now. ok is false if none may be tried. Daemons that are being
// avoided are left out. The order of preference is:
//
//  1. A daemon named in a redirect, because it is likely to have room.
//  2. A random daemon of the own zone.
//  3. Only if no daemon of the own zone is known, or detachedBeforeRemote daemons had no path to a
//     reader: a random daemon of the own region, then of any region. A change should cross zones
//     once per reader instead of once per daemon.
func (c *Candidates) Next(now time.Time) (choice Choice, ok bool) {
	if address, ok := c.nextRedirect(now); ok {
		return Choice{Address: address, Redirected: true}, true
	}
	localKnown := false
	var local, near, far []string
	for _, entry := range c.byAddress {
		localKnown = localKnown || entry.zone == c.zone
		switch {
		case now.Before(entry.avoidedUntil):
		case entry.zone == c.zone:
			local = append(local, entry.address)
		case entry.region == c.region:
			near = append(near, entry.address)
		default:
			far = append(far, entry.address)
		}
	}
	choices := [][]string{local}
	if !localKnown || c.detached >= detachedBeforeRemote {
		choices = [][]string{local, near, far}
	}
	for _, addresses := range choices {
		if len(addresses) > 0 {
			return Choice{Address: c.pick(addresses)}, true
		}
	}
	return Choice{}, false
}

// nextRedirect returns the first redirect that may be tried now. Daemons that have just refused are
// skipped: two daemons that name each other would otherwise be tried in a tight loop, which caused
// 3344 joins per second at one daemon (4000 daemons on one machine of 8 cores, 30% restarted).
func (c *Candidates) nextRedirect(now time.Time) (address string, ok bool) {
	for len(c.redirects) > 0 {
		address = c.redirects[0]
		c.redirects = c.redirects[1:]
		if entry, remembered := c.byAddress[address]; !remembered || !now.Before(entry.avoidedUntil) {
			return address, true
		}
	}
	return "", false
}

// pick chooses an address at random. Sorting first makes a seeded run repeatable.
func (c *Candidates) pick(addresses []string) string {
	slices.Sort(addresses)
	return addresses[c.random.IntN(len(addresses))]
}
