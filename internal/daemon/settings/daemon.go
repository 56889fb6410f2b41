// Package settings reads and validates the settings file of lapisvaned. Parsing is strict: an unknown
// key, an invalid address, a missing value or a number out of range is refused with an error that has a
// result code and names the key. The package defines the keys, their formats and defaults, and keeps no
// state. It relies on package tunables for the distribution profiles and on package result for errors.
// Existing keys must remain compatible.
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
	// PeerAddress is the listen address for other daemons.
	PeerAddress string `json:"peer_address"`
	// CallerAddress is the listen address for callers over HTTP; empty for none.
	CallerAddress string `json:"caller_address"`
	// CallerTLSAddress is the listen address for callers over HTTPS; empty for none.
	CallerTLSAddress string `json:"caller_tls_address"`
	// OperatorAddress is the listen address for lapisctl; empty for none.
	OperatorAddress string `json:"operator_address"`
	// MetricsAddress is the listen address for Prometheus metrics; empty for none.
	MetricsAddress string   `json:"metrics_address"`
	Platform       Platform `json:"platform"`
	// InstanceAddress is the listen address for heartbeats of local instances, on a platform where they
	// register themselves; empty for none.
	InstanceAddress string `json:"instance_address"`
	// ReadinessAddress is the listen address for the platform's readiness checks; empty for none.
	ReadinessAddress string `json:"readiness_address"`
	// Service is the service that runs on the machine. Calls from this machine name it as their caller.
	Service string `json:"service"`
	// LinkMegabits is the rate of the machine's network link in Mbit/s, or 0 if unknown. It limits the
	// bytes in flight of long bodies, so that they do not delay short calls.
	LinkMegabits float64 `json:"link_mbit"`
	// MemoryMegabytes is the memory of the machine in MiB that the process may use, or 0 if unknown. It
	// limits the Go runtime, what callers' connections hold of incomplete requests, and their number.
	MemoryMegabytes float64 `json:"memory_mb"`
	// MaxDescriptors is the number of file descriptors that the process may open, or 0 for the limit of
	// the operating system. Callers' connections use at most three quarters of it.
	MaxDescriptors float64 `json:"max_descriptors"`
	// Retries limits the retries of each service.
	Retries Retries `json:"retries"`
	// Seeds are peer addresses of other daemons.
	Seeds []string `json:"seeds"`
	// Services are the services that callers on this machine use; "*" for all.
	Services []string  `json:"services"`
	Backends []Backend `json:"backends"`
	PeerTLS  PeerTLS   `json:"peer_tls"`
	Calls    Calls     `json:"calls"`
	// EvacuationBound is the time within which an operator's order to evacuate a zone must be in force
	// on every connected daemon; 0 disables evacuation orders.
	EvacuationBound tunables.Duration `json:"evacuation_bound"`
	// Accounts limits how long API keys are accepted while the configuration cannot be confirmed.
	Accounts Accounts `json:"accounts"`
	// ColdStarts limits the calls to instances that have just started.
	ColdStarts ColdStarts `json:"cold_starts"`
	// RateLimits configures how precisely the rate limits of accounts are enforced.
	RateLimits RateLimits `json:"rate_limits"`
	// Rollouts limits the calls to a version that is being rolled out; the zero value disables
	// roll-outs.
	Rollouts Rollouts `json:"rollouts"`
	// SentAhead limits the resources for pipelined requests, which callers send before earlier ones on
	// the connection are answered.
	SentAhead SentAhead `json:"sent_ahead"`
	// Profile selects the tunables of distribution: convergence or bytes.
	Profile string `json:"profile"`
	// Distribution overrides individual tunables of the profile.
	Distribution json.RawMessage `json:"distribution"`
	// NoSeat prevents the daemon from becoming a reader of the object API in the distribution tree.
	NoSeat bool `json:"no_seat"`
	// StopLimit is the maximum duration of a planned stop, which waits for calls in flight.
	StopLimit tunables.Duration `json:"stop_limit"`
	// StartLimit is the maximum duration of a start, which waits for addresses that are in use and files
	// that are incomplete. It must be above StopLimit of a predecessor for a start that overlaps its stop.
	StartLimit tunables.Duration `json:"start_limit"`
	// Verbosity is the log level: 0 for events, 1 for debugging.
	Verbosity int `json:"verbosity"`
	// DecisionLinesPerSecond is the rate of log lines about requests above which they are sampled more
	// sparsely; 0 disables them.
	DecisionLinesPerSecond int `json:"decision_lines_per_second"`

	tunables tunables.Distribution
}

// Platform holds the connection parameters and limits of the platform.
type Platform struct {
	// Form is the name of the platform's adapter; empty for lapisvane's own object API.
	Form      string   `json:"form"`
	Addresses []string `json:"addresses"`
	Token     string   `json:"token"`
	// ReadsPerSecond is the platform store's limit on the reads by all daemons together; 0 for no limit.
	ReadsPerSecond float64 `json:"reads_per_second"`
	// WritesPerSecond is accepted for compatibility but has no effect.
	WritesPerSecond float64 `json:"writes_per_second"`
	// Contact is the time within which a daemon that regains contact with the platform must have its
	// current state.
	Contact tunables.Duration `json:"contact"`
	// ApplyBound is the time within which an accepted configuration must be in force on
	// every connected daemon.
	ApplyBound tunables.Duration `json:"apply_bound"`
}

// Retries limits the retries of each service.
type Retries struct {
	// Fraction is the maximum ratio of retries to calls of a service, such as 0.2; 0 for the default.
	Fraction float64 `json:"fraction"`
	// Burst is the maximum number of unused retries that accumulate over all daemons; 0 for the
	// default, which applies to each daemon separately.
	Burst float64 `json:"burst"`
	// Window is the length of the intervals in which the platform counts calls and retries. If it is
	// 0, a daemon accumulates no more than its part of Burst.
	Window tunables.Duration `json:"window"`
}

// Accounts limits how long API keys are accepted while the configuration cannot be confirmed.
type Accounts struct {
	// StrictRevocation makes a daemon refuse calls by API key if it could not confirm its configuration
	// for RevocationBound. Otherwise it continues to use the known keys.
	StrictRevocation bool              `json:"strict_revocation"`
	RevocationBound  tunables.Duration `json:"revocation_bound"`
}

// ColdStarts limits the calls to a cold instance in any second to the pool's rate for cold instances
// times Overshoot, plus Slack. If both are 0, the rate itself is the only limit.
type ColdStarts struct {
	Overshoot float64 `json:"overshoot"`
	// Slack is the number of calls allowed above the rate.
	Slack float64 `json:"slack"`
}

// RateLimits limits the calls of an account over all daemons: in any Window, at most
// (rate * Window + burst) * (1 + Overshoot) + Slack calls may run. The zero value disables rate limits.
type RateLimits struct {
	Window    tunables.Duration `json:"window"`
	Overshoot float64           `json:"overshoot"`
	// Slack is a number of calls.
	Slack float64 `json:"slack"`
}

// Rollouts limits the calls to a version whose roll-out is not completed.
type Rollouts struct {
	// ExposureShare is the maximum share of the service's calls, below 1; 0 disables roll-outs.
	ExposureShare float64 `json:"exposure_share"`
	// ExposureSlack is the number of calls allowed above the share. It covers calls in flight while a
	// daemon learns of an order; planning does not use it.
	ExposureSlack float64 `json:"exposure_slack"`
	// RollBackBound is the time for which a version may still get calls after its fiftieth bad answer. A
	// roll-back is always as fast as possible, regardless of the bound.
	RollBackBound tunables.Duration `json:"roll_back_bound"`
}

// Enabled reports whether roll-outs are enabled.
func (r Rollouts) Enabled() bool { return r.ExposureShare > 0 }

// Backend is a back end on the daemon's machine.
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

// Calls holds the limits of the request path.
type Calls struct {
	DefaultDeadline tunables.Duration `json:"default_deadline"`
	QueueLength     int               `json:"queue_length"`
	QueueTime       tunables.Duration `json:"queue_time"`
}

// SentAhead limits the resources for pipelined requests. At a limit, reading from the connection is
// paused.
type SentAhead struct {
	// RequestsPerConnection limits the unanswered requests of one connection; with 1, requests are
	// served sequentially.
	RequestsPerConnection int `json:"requests_per_connection"`
	// Requests limits, over all connections, the requests that follow an earlier unanswered one on their
	// connection.
	Requests int `json:"requests"`
	// BytesPerConnection and Bytes limit the size of buffered answers that wait for earlier ones, per
	// connection and over all connections.
	BytesPerConnection int64 `json:"bytes_per_connection"`
	Bytes              int64 `json:"bytes"`
}

// Names of the distribution profiles.
const (
	ProfileConvergence = "convergence"
	ProfileBytes       = "bytes"
)

// Defaults of settings.
const (
	defaultDecisionLinesPerSecond = 200
	defaultStopLimit              = 10 * time.Minute
	// defaultStartLimit is above defaultStopLimit, for which a predecessor on the same addresses may drain. A
	// start that gave up before would end by itself although its addresses become free.
	defaultStartLimit = defaultStopLimit + time.Minute
)

// DefaultDaemon returns the default settings.
func DefaultDaemon() Daemon {
	return Daemon{
		Profile: ProfileConvergence,
		Calls: Calls{
			DefaultDeadline: tunables.Duration(10 * time.Second),
			QueueLength:     64,
			QueueTime:       tunables.Duration(250 * time.Millisecond),
		},
		SentAhead:  SentAhead{RequestsPerConnection: 16, Requests: 2048, BytesPerConnection: 256 << 10, Bytes: 16 << 20},
		Platform:   Platform{Contact: tunables.Duration(3 * time.Second), ApplyBound: tunables.Duration(2 * time.Second)},
		StopLimit:  tunables.Duration(defaultStopLimit),
		StartLimit: tunables.Duration(defaultStartLimit),

		DecisionLinesPerSecond: defaultDecisionLinesPerSecond,
	}
}

// ReadDaemon returns the defaults, overridden by the settings file at path, then by override, which
// applies flags. Errors: a *result.List, or an error that names the key.
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

// Check validates the settings, returns all faults found, and sets the tunables.
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
	check.allOrNone("peer_tls", d.PeerTLS.Certificate, d.PeerTLS.Key, d.PeerTLS.Authority)
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
	check.positive("start_limit", float64(d.StartLimit))
	if d.DecisionLinesPerSecond < 0 {
		check.faults.Add(result.SettingsBadNumber, "decision_lines_per_second: %d is negative", d.DecisionLinesPerSecond)
	}
	if d.Verbosity < 0 {
		check.faults.Add(result.SettingsBadNumber, "verbosity: %d is negative", d.Verbosity)
	}
	d.checkDistribution(check)
	return check.Err()
}

// checkPlatform validates the platform settings and the numbers that must not be negative.
func (d *Daemon) checkPlatform(check *checker) {
	for _, bound := range []struct {
		key   string
		value float64
	}{
		{"platform.reads_per_second", d.Platform.ReadsPerSecond}, {"platform.writes_per_second", d.Platform.WritesPerSecond},
		{"link_mbit", d.LinkMegabits}, {"memory_mb", d.MemoryMegabytes},
		{"max_descriptors", d.MaxDescriptors}, {"retries.fraction", d.Retries.Fraction}, {"retries.burst", d.Retries.Burst},
		{"cold_starts.overshoot", d.ColdStarts.Overshoot}, {"cold_starts.slack", d.ColdStarts.Slack},
		{"rollouts.exposure_share", d.Rollouts.ExposureShare}, {"rollouts.exposure_slack", d.Rollouts.ExposureSlack},
		{"retries.window", float64(d.Retries.Window)}, {"rollouts.roll_back_bound", float64(d.Rollouts.RollBackBound)},
	} {
		if bound.value < 0 {
			check.faults.Add(result.SettingsBadNumber, "%s: %v is negative", bound.key, bound.value)
		}
	}
	d.checkRateLimits(check)
	if d.Rollouts.ExposureShare >= 1 {
		check.faults.Add(result.SettingsBadNumber, "rollouts.exposure_share: %v must be below 1", d.Rollouts.ExposureShare)
	}
	check.positive("platform.contact", float64(d.Platform.Contact))
	check.positive("platform.apply_bound", float64(d.Platform.ApplyBound))
	if d.Platform.Form != "" && d.OperatorAddress != "" {
		check.faults.Add(result.SettingsBadAddress, "operator_address must be empty with platform.form, since operators write to the platform's own store")
	}
}

// checkAccounts validates the settings of accounts.
func (d *Daemon) checkAccounts(check *checker) {
	bound := d.Accounts.RevocationBound
	if bound < 0 {
		check.faults.Add(result.SettingsBadNumber, "accounts.revocation_bound: %v is negative", bound.Get())
	}
	if d.Accounts.StrictRevocation && bound == 0 {
		check.faults.Add(result.SettingsMissing, "accounts.revocation_bound is required by accounts.strict_revocation")
	}
	if d.Accounts.StrictRevocation && d.Platform.Form == "" {
		check.faults.Add(result.SettingsMissing, "platform.form is required by accounts.strict_revocation")
	}
}

// checkRateLimits validates the settings of rate limits.
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
		check.faults.Add(result.SettingsMissing, "platform.form is required by rate_limits")
	}
}

func (d *Daemon) checkDistribution(check *checker) {
	switch d.Profile {
	case ProfileConvergence:
		d.tunables = tunables.Convergence()
	case ProfileBytes:
		d.tunables = tunables.Bytes()
	default:
		check.faults.Add(result.SettingsBadNumber, "profile: %q must be convergence or bytes", d.Profile)
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
	check.positive("distribution.first_source_ask", float64(tunables.FirstSourceQueryMaxDelay))
	if tunables.LinkIdleTimeout < 2*tunables.HeartbeatInterval {
		check.faults.Add(result.SettingsBadNumber, "distribution.link_silence must be at least twice heartbeat_interval")
	}
	if tunables.StatusInterval > tunables.LinkIdleTimeout/2 {
		check.faults.Add(result.SettingsBadNumber, "distribution.status_interval must be at most half of link_silence")
	}
	if tunables.DebounceQuiet < 0 || tunables.DebounceMax < tunables.DebounceQuiet {
		check.faults.Add(result.SettingsBadNumber, "distribution.debounce_quiet must be between 0 and debounce_max")
	}
}

// Tunables returns the distribution tunables. It is valid after Check.
func (d *Daemon) Tunables() tunables.Distribution { return d.tunables }
