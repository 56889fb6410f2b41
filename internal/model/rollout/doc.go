// Package rollout decides how the calls of a service move from one version of its
// instances to another one: how many calls the new version gets, whether it is good,
// when all daemons move, and what is written as the end. Its decisions are pure: the
// clock, the randomness and the evidence are passed in. docs/design/0021-rollouts.md
// has the reasons.
package rollout
