// Package rollout decides how the calls of a service move from one version of its instances to
// another: which share of the calls the new version gets, whether the new version is as good as the
// old one, when all daemons move their calls, and which result is written to the store. The
// decisions have no side effects: the clock, the randomness and the evidence are passed in. The
// design and its reasons are in docs/design/0021-rollouts.md.
package rollout
