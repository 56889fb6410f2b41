// Package settings reads and checks the settings file of lapisvaned. A file is strict: an
// unknown key, a bad address, a missing value or a number out of range is refused with a
// numbered error that names the key. The package owns the keys, their forms and defaults; it
// keeps no state, and relies on tunables for the profiles of distribution and on result for
// the errors. Every key that a file may hold must go on loading as it does.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Daemon holds the settings of lapisvaned.
type Daemon struct {
	// Node is the machine's stable name.
	Node   string `json:"node"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// PeerAddress is where other daemons connect.
	PeerAddress string `json:"peer_address"`
	// CallerAddress is where callers connect over HTTP.
	CallerAddress string `json:"caller_address"`
	// CallerTLSAddress is where callers connect over HTTPS; empty for none.
	CallerTLSAddress string `json:"caller_tls_address"`
	// OperatorAddress is where lapisctl connects; empty for none.
	OperatorAddress string `json:"operator_address"`
	// MetricsAddress serves Prometheus metrics; empty for none.
	MetricsAddress string   `json:"metrics_address"`
	Platform       Platform `json:"platform"`
	// InstanceAddress receives the heartbeats of the instances beside the daemon, on a
	// platform where they register themselves; empty for none.
	InstanceAddress string `json:"instance_address"`
	// ReadinessAddress answers a platform whether callers may be sent here; empty for none.
	ReadinessAddress string `json:"readiness_address"`
	// Service is the service that runs on the machine; calls from here name it as their
	// caller.
	Service string `json:"service"`
	// LinkMegabits is the rate of the machine's link in Mbit/s, 0 where it is not
	// known. Long bodies are sent so that short calls get past them on it.
	LinkMegabits float64 `json:"link_mbit"`
	// Retries bounds the retries of each service.
	Retries Retries `json:"retries"`
	// Seeds are peer addresses of other daemons.
	Seeds []string `json:"seeds"`
	// Services are the services that callers beside this daemon use; "*" for
	// all.
	Services []string  `json:"services"`
	Backends []Backend `json:"backends"`
	PeerTLS  PeerTLS   `json:"peer_tls"`
	Calls    Calls     `json:"calls"`
	// EvacuationBound is the time within which an operator's order to evacuate a zone must be
	// in force on every connected daemon; 0 where operators give no such orders.
	EvacuationBound tunables.Duration `json:"evacuation_bound"`
	// Accounts bounds how old the API keys of accounts may be that a daemon serves.
	Accounts Accounts `json:"accounts"`
	// ColdStarts bounds what instances get that have just started.
	ColdStarts ColdStarts `json:"cold_starts"`
	// RateLimits say how exactly the rate limits of accounts are kept.
	RateLimits RateLimits `json:"rate_limits"`
	// Rollouts bounds what the version that is rolled out gets; the zero value where operators
	// order no roll-outs.
	Rollouts Rollouts `json:"rollouts"`
	// SentAhead bounds what is held for requests that callers send before
	// earlier ones on their connection are answered.
	SentAhead SentAhead `json:"sent_ahead"`
	// Profile chooses the tunables of distribution: convergence or bytes.
	Profile string `json:"profile"`
	// Distribution overrides single tunables of the profile.
	Distribution json.RawMessage `json:"distribution"`
	// NoSeat keeps the daemon from becoming a reader.
	NoSeat bool `json:"no_seat"`
	// StopLimit bounds the wait for calls in flight at a planned stop.
	StopLimit tunables.Duration `json:"stop_limit"`
	// Verbosity of the log: 0 events, 1 debugging.
	Verbosity int `json:"verbosity"`
	// DecisionLinesPerSecond is the volume of lines about requests from which
	// these are sampled more sparsely; 0 for none at all.
	DecisionLinesPerSecond int `json:"decision_lines_per_second"`

	tunables tunables.Distribution
}

// Platform is how the platform is reached and what it allows.
type Platform struct {
	// Form names the adapter; empty for lapisvane's own object API.
	Form      string   `json:"form"`
	Addresses []string `json:"addresses"`
	Token     string   `json:"token"`
	// ReadsPerSecond is the limit of the platform's store on the reads of all daemons
	// together; 0 for no limit.
	ReadsPerSecond float64 `json:"reads_per_second"`
	// WritesPerSecond is accepted and has no effect.
	WritesPerSecond float64 `json:"writes_per_second"`
	// Contact is the time after which a daemon that reaches the platform again must know
	// what the platform holds.
	Contact tunables.Duration `json:"contact"`
	// ApplyBound is the time within which an accepted configuration must be in force on
	// every connected daemon.
	ApplyBound tunables.Duration `json:"apply_bound"`
}

// Retries bounds the retries of each service.
type Retries struct {
	// Fraction of the calls of a service may be retries; 0 for the default.
	Fraction float64 `json:"fraction"`
	// Burst is the number of retries that may be saved up by all daemons
	// together; 0 for the default, which each daemon has for itself.
	Burst float64 `json:"burst"`
}

// Accounts bounds how old the API keys of accounts may be that a daemon serves.
type Accounts struct {
	// StrictRevocation has a daemon serve no call by an API key once it could not confirm its
	// configuration for RevocationBound; otherwise it goes on with the keys that it knows.
	StrictRevocation bool              `json:"strict_revocation"`
	RevocationBound  tunables.Duration `json:"revocation_bound"`
}

// ColdStarts bounds the calls to a cold instance: in any second at most the pool's rate of
// cold instances times Overshoot, plus Slack. Both 0 leave that rate as the only bound.
type ColdStarts struct {
	Overshoot float64 `json:"overshoot"`
	// Slack is the allowance above the rate, in calls.
	Slack float64 `json:"slack"`
}

// RateLimits bounds the calls of an account: in no Window may more than
// (rate * Window + burst) * (1 + Overshoot) + Slack run, at all daemons together. Without a Window
// no limit is kept.
type RateLimits struct {
	Window    tunables.Duration `json:"window"`
	Overshoot float64           `json:"overshoot"`
	// Slack is in calls.
	Slack float64 `json:"slack"`
}

// Rollouts bounds the calls of a version that is rolled out and not completed yet.
type Rollouts struct {
	// ExposureShare is the part of the service's calls, 0 where there are no roll-outs.
	ExposureShare float64 `json:"exposure_share"`
	// ExposureSlack is in calls beside that. It is for calls on their way while a daemon learns of
	// an order; none of it is planned with.
	ExposureSlack float64 `json:"exposure_slack"`
	// RollBackBound is the time after its fiftieth bad answer in which a version may still get
	// calls. A roll-back is as quick as it can be, whatever the bound.
	RollBackBound tunables.Duration `json:"roll_back_bound"`
}

// On reports whether operators order roll-outs.
func (r Rollouts) On() bool { return r.ExposureShare > 0 }

// Backend is one back end beside the daemon.
type Backend struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
	Address  string `json:"address"`
}

// PeerTLS names the files for mutual TLS between daemons; all empty for plain TCP.
type PeerTLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// Calls bounds the request path.
type Calls struct {
	DefaultDeadline tunables.Duration `json:"default_deadline"`
	QueueLength     int               `json:"queue_length"`
	QueueTime       tunables.Duration `json:"queue_time"`
}

// SentAhead bounds what is held for requests sent ahead. At a bound the
// connection is not read on.
type SentAhead struct {
	// RequestsPerConnection bounds the unanswered requests of one connection; 1
	// serves them one after the other.
	RequestsPerConnection int `json:"requests_per_connection"`
	// Requests bounds those that are unanswered behind another one, of all
	// connections.
	Requests int `json:"requests"`
	// BytesPerConnection and Bytes bound the answers that wait for earlier ones, of one
	// connection and of all.
	BytesPerConnection int64 `json:"bytes_per_connection"`
	Bytes              int64 `json:"bytes"`
}

// Profiles of distribution.
const (
	ProfileConvergence = "convergence"
	ProfileBytes       = "bytes"
)

// decisionLinesPerSecond is the default of DecisionLinesPerSecond.
const decisionLinesPerSecond = 200

// DefaultDaemon returns the defaults.
func DefaultDaemon() Daemon {
	return Daemon{
		Profile: ProfileConvergence,
		Calls: Calls{
			DefaultDeadline: tunables.Duration(10 * time.Second),
			QueueLength:     64,
			QueueTime:       tunables.Duration(250 * time.Millisecond),
		},
		SentAhead: SentAhead{RequestsPerConnection: 16, Requests: 2048, BytesPerConnection: 256 << 10, Bytes: 16 << 20},
		Platform:  Platform{Contact: tunables.Duration(3 * time.Second), ApplyBound: tunables.Duration(2 * time.Second)},
		StopLimit: tunables.Duration(10 * time.Minute),

		DecisionLinesPerSecond: decisionLinesPerSecond,
	}
}

// ReadDaemon reads path over the defaults; override then applies flags, which
// win. Errors: a *result.List or an error that names the key.
func ReadDaemon(path string, override func(*Daemon)) (*Daemon, error) {
	daemon := DefaultDaemon()
	if path != "" {
		if err := readStrict(path, &daemon); err != nil {
			return nil, err
		}
	}
	override(&daemon)
	return &daemon, daemon.Check()
}

// Check reports every fault in the settings and prepares the tunables.
func (d *Daemon) Check() error {
	check := &checker{}
	check.required("node", d.Node)
	check.required("zone", d.Zone)
	check.address("peer_address", d.PeerAddress, true)
	check.address("caller_address", d.CallerAddress, false)
	check.address("caller_tls_address", d.CallerTLSAddress, false)
	check.address("operator_address", d.OperatorAddress, false)
	check.address("metrics_address", d.MetricsAddress, false)
	check.address("instance_address", d.InstanceAddress, false)
	check.address("readiness_address", d.ReadinessAddress, false)
	d.checkPlatform(check)
	if len(d.Platform.Addresses) == 0 {
		check.faults.Add(result.SettingsMissing, "platform.addresses")
	}
	for index, address := range d.Platform.Addresses {
		check.address(fmt.Sprintf("platform.addresses[%d]", index), address, true)
	}
	for index, address := range d.Seeds {
		check.address(fmt.Sprintf("seeds[%d]", index), address, true)
	}
	for index, backend := range d.Backends {
		key := fmt.Sprintf("backends[%d]", index)
		check.required(key+".service", backend.Service)
		check.required(key+".instance", backend.Instance)
		check.address(key+".address", backend.Address, true)
	}
	check.together("peer_tls", d.PeerTLS.Certificate, d.PeerTLS.Key, d.PeerTLS.Authority)
	check.positive("calls.default_deadline", float64(d.Calls.DefaultDeadline))
	check.positive("calls.queue_length", float64(d.Calls.QueueLength))
	check.positive("calls.queue_time", float64(d.Calls.QueueTime))
	check.positive("sent_ahead.requests_per_connection", float64(d.SentAhead.RequestsPerConnection))
	check.positive("sent_ahead.requests", float64(d.SentAhead.Requests))
	check.positive("sent_ahead.bytes_per_connection", float64(d.SentAhead.BytesPerConnection))
	check.positive("sent_ahead.bytes", float64(d.SentAhead.Bytes))
	if d.SentAhead.BytesPerConnection > d.SentAhead.Bytes {
		check.faults.Add(result.SettingsBadNumber, "sent_ahead.bytes_per_connection must be at most sent_ahead.bytes")
	}
	d.checkAccounts(check)
	check.positive("stop_limit", float64(d.StopLimit))
	if d.DecisionLinesPerSecond < 0 {
		check.faults.Add(result.SettingsBadNumber, "decision_lines_per_second: %d is negative", d.DecisionLinesPerSecond)
	}
	if d.Verbosity < 0 {
		check.faults.Add(result.SettingsBadNumber, "verbosity: %d is negative", d.Verbosity)
	}
	d.checkDistribution(check)
	return check.Err()
}

// checkPlatform reports settings that do not go together with a platform's
// adapter.
func (d *Daemon) checkPlatform(check *checker) {
	for _, bound := range []struct {
		key   string
		value float64
	}{
		{"platform.reads_per_second", d.Platform.ReadsPerSecond}, {"platform.writes_per_second", d.Platform.WritesPerSecond},
		{"link_mbit", d.LinkMegabits}, {"retries.fraction", d.Retries.Fraction}, {"retries.burst", d.Retries.Burst},
		{"cold_starts.overshoot", d.ColdStarts.Overshoot}, {"cold_starts.slack", d.ColdStarts.Slack},
		{"rollouts.exposure_share", d.Rollouts.ExposureShare}, {"rollouts.exposure_slack", d.Rollouts.ExposureSlack},
		{"rollouts.roll_back_bound", float64(d.Rollouts.RollBackBound)},
	} {
		if bound.value < 0 {
			check.faults.Add(result.SettingsBadNumber, "%s: %v is negative", bound.key, bound.value)
		}
	}
	d.checkRateLimits(check)
	if d.Rollouts.ExposureShare >= 1 {
		check.faults.Add(result.SettingsBadNumber, "rollouts.exposure_share: %v is not a part of the calls", d.Rollouts.ExposureShare)
	}
	check.positive("platform.contact", float64(d.Platform.Contact))
	check.positive("platform.apply_bound", float64(d.Platform.ApplyBound))
	if d.Platform.Form != "" && d.OperatorAddress != "" {
		check.faults.Add(result.SettingsBadAddress, "operator_address: operators write to the platform's own store")
	}
}

// checkAccounts reports bounds of API keys that cannot be kept.
func (d *Daemon) checkAccounts(check *checker) {
	bound := d.Accounts.RevocationBound
	if bound < 0 {
		check.faults.Add(result.SettingsBadNumber, "accounts.revocation_bound: %v is negative", bound.Get())
	}
	if d.Accounts.StrictRevocation && bound == 0 {
		check.faults.Add(result.SettingsMissing, "accounts.revocation_bound, which accounts.strict_revocation needs")
	}
	if d.Accounts.StrictRevocation && d.Platform.Form == "" {
		check.faults.Add(result.SettingsMissing, "platform.form, which accounts.strict_revocation needs")
	}
}

// checkRateLimits reports rate limits that cannot be kept.
func (d *Daemon) checkRateLimits(check *checker) {
	limits := d.RateLimits
	if limits == (RateLimits{}) {
		return
	}
	check.positive("rate_limits.window", float64(limits.Window))
	check.positive("rate_limits.overshoot", limits.Overshoot)
	if limits.Slack < 0 {
		check.faults.Add(result.SettingsBadNumber, "rate_limits.slack: %v is negative", limits.Slack)
	}
	if d.Platform.Form == "" {
		check.faults.Add(result.SettingsMissing, "platform.form: rate_limits need a platform")
	}
}

func (d *Daemon) checkDistribution(check *checker) {
	switch d.Profile {
	case ProfileConvergence:
		d.tunables = tunables.Convergence()
	case ProfileBytes:
		d.tunables = tunables.Bytes()
	default:
		check.faults.Add(result.SettingsBadNumber, "profile: %q is neither convergence nor bytes", d.Profile)
		return
	}
	if len(d.Distribution) > 0 {
		if err := parseStrict(d.Distribution, &d.tunables); err != nil {
			code, _ := result.CodeOf(err)
			check.faults.Add(code, "distribution: %v", err)
		}
	}
	checkTunables(check, d.tunables)
}

func checkTunables(check *checker, tunables tunables.Distribution) {
	check.positive("distribution.fanout", float64(tunables.Fanout))
	check.positive("distribution.max_depth", float64(tunables.MaxDepth))
	check.positive("distribution.seats_per_zone", float64(tunables.SeatsPerZone))
	check.positive("distribution.seat_lease", float64(tunables.SeatLease))
	check.positive("distribution.heartbeat_interval", float64(tunables.HeartbeatInterval))
	check.positive("distribution.status_interval", float64(tunables.StatusInterval))
	check.positive("distribution.joins_per_second", tunables.JoinsPerSecond-0.999)
	check.positive("distribution.catch_up_bytes_per_second", tunables.CatchUpBytesPerSecond)
	check.positive("distribution.catch_up_burst_bytes", float64(tunables.CatchUpBurstBytes))
	check.positive("distribution.machines_interval", float64(tunables.MachinesInterval))
	check.positive("distribution.join_backoff_min", float64(tunables.JoinBackoffMin))
	check.positive("distribution.first_source_ask", float64(tunables.FirstSourceAsk))
	if tunables.LinkSilence < 2*tunables.HeartbeatInterval {
		check.faults.Add(result.SettingsBadNumber, "distribution.link_silence must be at least twice heartbeat_interval")
	}
	if tunables.StatusInterval > tunables.LinkSilence/2 {
		check.faults.Add(result.SettingsBadNumber, "distribution.status_interval must be at most half of link_silence")
	}
	if tunables.DebounceQuiet < 0 || tunables.DebounceMax < tunables.DebounceQuiet {
		check.faults.Add(result.SettingsBadNumber, "distribution.debounce_quiet must be between 0 and debounce_max")
	}
}

// Tunables returns the tunables of distribution after Check.
func (d *Daemon) Tunables() tunables.Distribution { return d.tunables }
