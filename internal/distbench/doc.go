// Package distbench measures the distribution of configuration over hollow
// daemons: convergence and control bytes of each strategy, and recovery from each
// kind of fault, with an oracle that judges every version put in force.
package distbench
