package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/lapisvane/lapisvane/internal/distribution/allowance"
)

// Descriptions of the allowance metrics.
var (
	allowanceCalls = prometheus.NewDesc("lapisvane_allowance_calls_total",
		"Calls here that wanted credit, by outcome: granted, reserved, refused or unreachable.", []string{"outcome"}, nil)
	allowanceLent = prometheus.NewDesc("lapisvane_allowance_lent_total",
		"Credits that this daemon lent as the owner, by allowance.", []string{"allowance"}, nil)
	allowanceReturned = prometheus.NewDesc("lapisvane_allowance_returned_total",
		"Lent credits that came back unused, by allowance.", []string{"allowance"}, nil)
	allowanceRefused = prometheus.NewDesc("lapisvane_allowance_refused_total",
		"Credits that this daemon refused as the owner, by allowance.", []string{"allowance"}, nil)
	allowanceLeft = prometheus.NewDesc("lapisvane_allowance_left",
		"Credit that this daemon may lend now, by allowance.", []string{"allowance"}, nil)
	allowanceShare = prometheus.NewDesc("lapisvane_allowance_share",
		"Part of the rate that this daemon may lend, by allowance; 0 where it is not the owner.", []string{"allowance"}, nil)
	allowanceVoters = prometheus.NewDesc("lapisvane_allowance_voters",
		"Daemons that told this one whom they see as owners.", nil, nil)
)

// RegisterAllowances adds the metrics of limits that are shared by daemons to registry.
func RegisterAllowances(registry *prometheus.Registry, report func() allowance.Report) {
	registry.MustRegister(allowances{report})
}

// allowances collects the metrics of limits that are shared by daemons.
type allowances struct{ report func() allowance.Report }

// Describe implements prometheus.Collector.
func (a allowances) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{
		allowanceCalls, allowanceLent, allowanceReturned, allowanceRefused, allowanceLeft, allowanceShare, allowanceVoters,
	} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (a allowances) Collect(collected chan<- prometheus.Metric) {
	report := a.report()
	counter := func(description *prometheus.Desc, count uint64, label string) {
		collected <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(count), label)
	}
	gauge := func(description *prometheus.Desc, value float64, labels ...string) {
		collected <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
	}
	counter(allowanceCalls, report.Counts.Granted, "granted")
	counter(allowanceCalls, report.Counts.Reserved, "reserved")
	counter(allowanceCalls, report.Counts.Refused, "refused")
	counter(allowanceCalls, report.Counts.Unreachable, "unreachable")
	gauge(allowanceVoters, float64(report.Voters))
	for name, owned := range report.Owned {
		counter(allowanceLent, owned.Lent, name)
		counter(allowanceReturned, owned.Returned, name)
		counter(allowanceRefused, owned.Refused, name)
		gauge(allowanceLeft, owned.Left, name)
		gauge(allowanceShare, owned.Share, name)
	}
}
