//go:build race

package rollout

// simSeeds is the number of runs of each scenario. The simulation runs in one goroutine, in which
// the race detector finds nothing but takes several times as long; make test runs all seeds without
// it.
const simSeeds = 20
