// Package fleet keeps a daemon in touch with the others where all of them read
// the configuration source themselves. A daemon connects to those whose
// instances it may use, a bounded number for each service; on the connections
// that carry its calls they tell it about their instances, and both sides tell
// each other which configuration they have in force. Daemons find each other in
// a directory, and name to each other whom they know, so that one that starts
// while the directory is out of reach is found by its neighbours.
//
// A statement about an instance comes only from the daemon beside it and is
// never passed on, so that statements need no order among daemons.
package fleet
