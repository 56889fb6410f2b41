// Package meshconfig is the model of the configuration: pools, routes, secrets
// and shares. It parses proposals, validates a whole configuration, decides
// conflicts between proposals and cuts the configuration into bundles, the
// unit of distribution. It does no I/O.
package meshconfig
