package rollout

import (
	"slices"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Choice says which instances of a service an attempt may go to, by their versions.
type Choice struct {
	// Name tells an operator why other instances are left out.
	Name   string
	Allows func(*lapisv1.Endpoint) bool
}

// NotVersions allows the instances of all versions but the given ones.
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
