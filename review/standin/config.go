package main

// Names of the deployment's services and hosts.
const (
	serviceOrders = "orders"
	hostOrders    = "orders.example"
)

// table is a table of the operator's configuration.
type table struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// configuration returns the operator's configuration with one safe and one unsafe route to the one
// service. tenants may be nil.
func configuration(version int, tenants *table) map[string]any {
	spec := map[string]any{
		"version": version,
		"routes": table{
			Columns: []string{"name", "host", "path-prefix", "route-type", "timeout-ms", "target-latency-ms", "priority", "service", "max-attempts", "public", "backends"},
			Rows: [][]any{
				{"r-read", hostOrders, "/read/", "safe", 2000, 600, 2, serviceOrders, 2, false, nil},
				{"r-order", hostOrders, "/order/", "unsafe", 3000, 800, 1, serviceOrders, 2, false, nil},
			},
		},
		"services": table{
			Columns: []string{"name", "health-check-path", "max-connections", "protocol", "tls"},
			Rows:    [][]any{{serviceOrders, "/health", 130, "h1", false}},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	if tenants != nil {
		spec["tenants"] = tenants
	}
	return spec
}

// smallSettings are the settings that deploy/settings.yaml.template gives on a small site
// (bluemahoe-kgn).
const smallSettings = `  reads_per_second: 2000
  writes_per_second: 400
  contact: "3000ms"
  apply_bound: "2000ms"
retries:
  fraction: 0.2
  burst: 62
  window: "10s"
link_mbit: 1000.0
stop_limit: "6s"`

// tenantSettings are those of a site with tenants (oregdiak-halo-grown).
const tenantSettings = `  reads_per_second: 6000
  writes_per_second: 1200
  contact: "3000ms"
  apply_bound: "2500ms"
retries:
  fraction: 0.2
  burst: 192
  window: "10s"
link_mbit: 200.0
stop_limit: "6s"
rate_limits:
  window: "5s"
  overshoot: 0.1
  slack: 20
accounts:
  revocation_bound: "5000ms"
rollouts:
  exposure_share: 0.1
  exposure_slack: 50
  roll_back_bound: "5000ms"`
