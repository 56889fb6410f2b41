package day

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
	"github.com/lapisvane/lapisvane/platform"
)

// Names of probe routes. Each configuration has a route that never changes, a route that each version moves to
// another service, and routes that versions added.
const (
	probeAlways = "probe-always"
	probeMoved  = "probe-moved"
)

// Times of added probe routes, as multiples of Options.ApplyBound. They are long beside the bound, so that in quick
// successions of versions as well a route is old enough to show that a daemon is late.
const (
	// probeGap is the time between two versions that add a route.
	probeGap = 0.2
	// probeLifetime is the time after which a version removes an added route.
	probeLifetime = 3
	// probedFor is the time for which it is probed.
	probedFor = 2 * probeLifetime
)

// addedProbe is a probe route that a version added.
//
// service is empty for one of an invalid version, which no valid one contains.
type addedProbe struct {
	name, service string
	at            time.Time
}

const (
	// probeInterval is the mean time between two requests on probe routes.
	probeInterval = 15 * time.Millisecond
	probeDeadline = 2 * time.Second
	// maxPendingProbes limits the unanswered requests on probe routes.
	maxPendingProbes = 64
	// stretchPerContact and rollbackSlack are bounds of the platform's rules: the time by which a disrupted store
	// extends the bound of a configuration, relative to the contact time, and the time after which no answer may
	// show an older version than another one before.
	stretchPerContact = 5.0 / 3
	rollbackSlack     = 250 * time.Millisecond
)

// versionBounds returns the bounds that Versions checks.
func (o Options) versionBounds() promise.VersionBounds {
	return promise.VersionBounds{
		Apply: o.ApplyBound, Contact: o.Contact, Stretch: time.Duration(stretchPerContact * float64(o.Contact)), RollbackSlack: rollbackSlack,
	}
}

// nextProbes returns the services of the probe routes of the next version, and adds or forgets added routes. The caller
// holds mutex.
func (s *Site) nextProbes(now time.Time) map[string]string {
	services := s.services()
	service := services[s.version%uint64(len(services))]
	times := func(factor float64) time.Duration { return time.Duration(factor * float64(s.options.ApplyBound)) }
	if len(s.probes) == 0 || now.Sub(s.probes[len(s.probes)-1].at) >= times(probeGap) {
		s.probes = append(s.probes, addedProbe{fmt.Sprintf("probe-%d", s.version), service, now})
	}
	s.probes = slices.DeleteFunc(s.probes, func(probe addedProbe) bool { return now.Sub(probe.at) > times(probedFor) })
	routes := map[string]string{probeAlways: services[0], probeMoved: service}
	for _, probe := range s.probes {
		if probe.service != "" && now.Sub(probe.at) <= times(probeLifetime) {
			routes[probe.name] = probe.service
		}
	}
	return routes
}

// probeRoute returns a probe route as a configuration contains it.
func probeRoute(name, service string) Route {
	return Route{
		Name: name, Host: standardHost, Prefix: "/" + name + "/", Kind: platform.RouteSafe, Service: service, TimeoutMillis: 3000,
		TargetMillis: 300, Priority: 3, Attempts: 2, Public: true,
	}
}

// DeclareInvalid writes a configuration that cannot be used, because a route leads to an unknown service. It contains
// a probe route of its own.
func (s *Site) DeclareInvalid() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	invalid := addedProbe{name: fmt.Sprintf("probe-%d", s.version), at: time.Now()}
	routes := append([]Route{probeRoute(invalid.name, s.services()[0]), probeRoute("lost", "nowhere")}, s.routes...)
	config := Config(s.version, s.services(), routes)
	s.probes = append(s.probes, invalid)
	s.Versions.Overwritten(invalid.at)
	return s.Store.PutSpec(platform.KindConfig, platform.NameConfig, config)
}

// drawProbe returns a random probe route.
func (s *Site) drawProbe(random *rand.Rand) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	names := []string{probeAlways, probeMoved}
	for _, probe := range s.probes {
		names = append(names, probe.name)
	}
	return names[random.IntN(len(names))]
}

// lastProbeID is the number in the id of the newest request on a probe route.
var lastProbeID atomic.Uint64

// Probe sends requests on probe routes to random daemons until ctx ends, and checks by their outcomes which versions the
// daemons have in force. It waits for the pending requests.
func (s *Site) Probe(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 5))
	transport := &http.Transport{DisableKeepAlives: true}
	pending := make(chan struct{}, maxPendingProbes)
	for sleep.For(ctx, time.Duration(random.ExpFloat64()*float64(probeInterval))) {
		machine, probe := s.Machines[random.IntN(len(s.Machines))], s.drawProbe(random)
		pending <- struct{}{}
		go func() {
			defer func() { <-pending }()
			s.sendProbe(transport, machine, probe)
		}()
	}
	for range maxPendingProbes {
		pending <- struct{}{}
	}
}

// sendProbe sends a request on a probe route and checks its outcome.
func (s *Site) sendProbe(transport *http.Transport, machine *Machine, probe string) {
	address := machine.Caller()
	if address == "" {
		return
	}
	id := "p" + strconv.FormatUint(lastProbeID.Add(1), 36)
	outcome := promise.ProbeOutcome{Request: id, Probe: probe, Daemon: address, SentAt: time.Now()}
	s.Ledger.Sent(promise.Request{
		ID: id, Services: serviceSet(s.services()), Safe: true, Caller: machine.Service, SentAt: outcome.SentAt, DaemonAddress: address,
		Timeout: probeDeadline, MaxAttempts: 2,
	})
	ctx, cancel := context.WithTimeout(context.Background(), probeDeadline)
	defer cancel()
	status, stamp := exchangeProbe(ctx, transport, address, id, probe)
	outcome.SeenAt = time.Now()
	outcome.Service = s.Ledger.ServiceOf(id, stamp)
	outcome.Handled = outcome.Service != "" || stamp == "" && status == http.StatusNotFound
	s.Versions.Probed(outcome)
}

// exchangeProbe sends a request on a probe route and returns the status and the stamp of its answer, if there is one.
func exchangeProbe(ctx context.Context, transport *http.Transport, address, id, probe string) (status int, stamp string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/"+probe+"/x", nil)
	if err != nil {
		return 0, ""
	}
	request.Host = standardHost
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderDeadline, strconv.FormatInt(probeDeadline.Milliseconds(), 10))
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	// A truncated body changes nothing about which version the daemon has in force.
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get(platform.HeaderStamp)
}

func serviceSet(names []string) map[string]bool {
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	return set
}
