//go:build !race

package rollout

// simSeeds is the number of runs of each scenario.
const simSeeds = 200
