// Package fleet keeps a daemon in touch with every other one where all of them
// read the configuration source themselves. Each daemon tells every other one
// about the instances beside it and the configuration that it has in force,
// over the same connection that carries its calls there. Daemons find each
// other in a directory, and each names to the others whom it knows, so that one
// that starts while the directory is out of reach is found by its neighbours.
//
// A statement about an instance comes only from the daemon beside it and is
// never passed on, so that statements need no order among daemons.
package fleet
