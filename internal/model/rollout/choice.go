package rollout

import (
	"slices"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Choice restricts the instances of a service that an attempt may be sent to, by their version.
type Choice struct {
	// Name is the reason shown to operators for the instances that are left out.
	Name   string
	Allows func(*lapisv1.Endpoint) bool
}

// NotVersions allows the instances of all versions except the given ones.
func NotVersions(versions ...string) Choice {
	return Choice{Name: "version_excluded", Allows: func(endpoint *lapisv1.Endpoint) bool {
		return !slices.Contains(versions, endpoint.GetVersion())
	}}
}

// OnlyVersion allows the instances of one version.
func OnlyVersion(version string) Choice {
	return Choice{Name: "version_required", Allows: func(endpoint *lapisv1.Endpoint) bool {
		return endpoint.GetVersion() == version
	}}
}

// OnlyInstances allows the given instances of a version.
func OnlyInstances(version string, instances []string) Choice {
	allowed := make(map[string]bool, len(instances))
	for _, instance := range instances {
		allowed[instance] = true
	}
	return Choice{Name: "version_probed", Allows: func(endpoint *lapisv1.Endpoint) bool {
		return endpoint.GetVersion() == version && allowed[endpoint.GetInstance()]
	}}
}
