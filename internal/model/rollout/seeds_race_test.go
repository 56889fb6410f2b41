//go:build race

package rollout

// daySeeds is how many days of each scenario are played. The model is one goroutine, in
// which the race detector finds nothing and costs a multiple; make test plays all seeds
// without it.
const daySeeds = 20
