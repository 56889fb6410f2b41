package day

import (
	"encoding/json"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/instance"
	"github.com/lapisvane/lapisvane/platform"
)

// Route is a route in the operator's configuration.
type Route struct {
	Name, Host, Prefix, Kind, Service string
	TimeoutMillis, TargetMillis       uint32
	Priority, Attempts                uint32
	Split                             []platform.Backend
	// Regions are the regions in which the route's requests may run; empty for all.
	Regions []string
	// Public routes need no API key.
	Public bool
}

// Config builds the operator's configuration.
func Config(version uint64, services []string, routes []Route) platform.Config {
	config := platform.Config{Version: version, Limits: platform.Limits{
		HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeoutMillis: 3000, IdleTimeoutMillis: 15000,
	}}
	config.Services.Columns = []string{platform.ColumnName, platform.ColumnHealthPath, platform.ColumnConnections}
	for _, service := range services {
		config.Services.Rows = append(config.Services.Rows, row(service, instance.PathHealth, 130))
	}
	config.Routes.Columns = []string{
		platform.ColumnName, platform.ColumnHost, platform.ColumnPrefix, platform.ColumnKind, platform.ColumnTimeout,
		platform.ColumnTarget, platform.ColumnPriority, platform.ColumnAttempts, platform.ColumnService, platform.ColumnBackends, platform.ColumnRegions,
	}
	for _, route := range routes {
		var split any
		if len(route.Split) > 0 {
			split = route.Split
		}
		config.Routes.Rows = append(config.Routes.Rows, row(route.Name, route.Host, route.Prefix, route.Kind,
			route.TimeoutMillis, route.TargetMillis, route.Priority, route.Attempts, route.Service, split, route.Regions))
	}
	return config
}

// addColdRates adds the slow start time and the cold rate to all services of a configuration.
func addColdRates(config *platform.Config, options Options) {
	config.Services.Columns = append(config.Services.Columns, platform.ColumnColdStart, platform.ColumnColdRate)
	cold := row(options.ColdDuration.Seconds(), options.ColdRate)
	for index, service := range config.Services.Rows {
		config.Services.Rows[index] = append(service, cold...)
	}
}

// row encodes the values of a table row as JSON. A value that cannot be encoded becomes null.
func row(values ...any) []json.RawMessage {
	encoded := make([]json.RawMessage, 0, len(values))
	for _, value := range values {
		text, err := json.Marshal(value)
		if err != nil {
			text = []byte("null")
		}
		encoded = append(encoded, text)
	}
	return encoded
}
