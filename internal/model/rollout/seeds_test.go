//go:build !race

package rollout

// daySeeds is how many days of each scenario are played.
const daySeeds = 200
