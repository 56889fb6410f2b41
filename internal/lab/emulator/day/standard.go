package day

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/client"
	"github.com/lapisvane/lapisvane/platform"
)

// standardHost is the host name in the requests of the standard day.
const standardHost = "shop.example"

// StandardRoutes returns the routes of the standard day: safe reads whose instances make further calls,
// unsafe orders, uploads, and the calls between instances.
func StandardRoutes() []Route {
	return []Route{
		{Name: "look", Host: standardHost, Prefix: "/look/", Kind: platform.RouteSafe, Service: "desk", TimeoutMillis: 3000, TargetMillis: 300, Priority: 2, Attempts: 2},
		{Name: "order", Host: standardHost, Prefix: "/order/", Kind: platform.RouteUnsafe, Service: "desk", TimeoutMillis: 3000, TargetMillis: 300, Priority: 1, Attempts: 2},
		{Name: "file", Host: standardHost, Prefix: "/file/", Kind: platform.RouteUpload, Service: "yard", TimeoutMillis: 3000, TargetMillis: 300, Priority: 1, Attempts: 2},
		{Name: "stock", Host: standardHost, Prefix: "/stock/", Kind: platform.RouteSafe, Service: "yard", TimeoutMillis: 3000, TargetMillis: 100, Attempts: 2},
	}
}

// StandardClasses returns the request classes of the standard day, at factor times the standard rate.
func StandardClasses(factor float64) []client.Class {
	return []client.Class{
		{
			Name: "look", Host: standardHost, Path: "/look/a", Safe: true, Services: []string{"desk"}, RequestsPerSecond: 60 * factor,
			Deadline: 3 * time.Second, AnswerBytes: 1500, MaxRetries: 2, MaxAttempts: 2, CallPath: "/stock/b", CallService: "yard",
		},
		{
			Name: "order", Host: standardHost, Path: "/order/a/b?c=d", Services: []string{"desk"}, RequestsPerSecond: 40 * factor,
			Deadline: 3 * time.Second, BodyBytes: 300, AnswerBytes: 5000, MaxRetries: 2, MaxAttempts: 2,
		},
		{
			Name: "file", Host: standardHost, Path: "/file/x", Services: []string{"yard"}, RequestsPerSecond: 10 * factor,
			Deadline: 3 * time.Second, BodyBytes: 120_000, AnswerBytes: 70_000, MaxRetries: 2, MaxAttempts: 2,
		},
	}
}

// StandardBursts returns the pipelined requests of the standard day: bursts of reads, and bursts of
// reads with an order between them.
func StandardBursts(factor float64) []client.Burst {
	classes := StandardClasses(1)
	look, order := classes[0], classes[1]
	return []client.Burst{
		{Classes: []client.Class{look, look, look, look}, BurstsPerSecond: 10 * factor},
		{Classes: []client.Class{look, order, look}, BurstsPerSecond: 5 * factor},
	}
}

// regionNorth is the region of two of the three zones of the standard day.
const regionNorth = "north"

// ZonedOptions returns the default options for a site in two regions, whose zones can be evacuated and
// whose instances have less capacity while they are cold.
func ZonedOptions() Options {
	options := DefaultOptions()
	options.Regions = map[string]string{"a": regionNorth, "b": regionNorth, "c": "south"}
	options.EvacuationBound = 2 * time.Second
	// A third of the rate at which an instance receives requests on the standard day.
	options.ColdRate, options.ColdOvershoot, options.ColdSlack = 15, 1.5, 8
	options.ColdDuration = 2 * time.Second
	return options
}

// ZonedRoutes returns the standard routes and a route that is restricted to one region.
func ZonedRoutes() []Route {
	return append(StandardRoutes(), Route{
		Name: "card", Host: standardHost, Prefix: "/card/", Kind: platform.RouteSafe, Service: "desk",
		TimeoutMillis: 3000, TargetMillis: 300, Priority: 1, Attempts: 2, Regions: []string{regionNorth},
	})
}

// ZonedClasses returns the standard classes and a class that is restricted to one region.
func ZonedClasses(factor float64) []client.Class {
	return append(StandardClasses(factor), client.Class{
		Name: "card", Host: standardHost, Path: "/card/a", Safe: true, Services: []string{"desk"}, RequestsPerSecond: 20 * factor,
		Deadline: 3 * time.Second, AnswerBytes: 800, MaxRetries: 2, MaxAttempts: 2, AllowedRegions: []string{regionNorth},
	})
}

// StandardPlan returns a day of the given length on a zoned site, with random faults that the seed
// determines.
func StandardPlan(seed uint64, length time.Duration, faults int, kinds []FaultKind) Plan {
	options := ZonedOptions()
	options.Seed = seed
	return Plan{
		Options: options, Routes: ZonedRoutes(), Classes: ZonedClasses(1), Bursts: StandardBursts(1), Length: length,
		ChangeInterval: 500 * time.Millisecond, Faults: DrawFaults(seed, kinds, faults, length), ApplyBound: 2 * time.Second,
	}
}
