package fleet

// This file decides which page of the directory a daemon reads and whether it publishes itself.
//
// Load: a fleet of any size that starts at once, and daemons that start later, while an answer of the
// directory may be seconds old. If each daemon read all entries and wrote its own, the calls of a
// start would grow with the square of the fleet: 985 daemons made 2.7 to 4.1 calls each, where a page
// of 200 entries counts as a tenth of a call. A daemon therefore reads one page, links to some of the
// daemons there, and learns the others from them. It writes an entry only if the page has few.
//
// Failures: an entry whose daemon has gone costs its readers a dial. If no daemon of a page can be
// reached, the following pages are read in turn, and this daemon publishes itself. Two halves of a
// fleet that started apart find each other at their next lists.

// wantedEntries is the number of entries with which a page is enough, unless it is full with fewer.
// Small fleets are listed whole. In larger ones, the daemons that start at once dial the listed ones
// first, so there must be many of them; entries behind a full page are not read.
const wantedEntries = 128

// publishChances are the chances, 0 to 1, to publish this daemon after each list that is not enough;
// the last one applies to all further lists. Most daemons that start together so see the entries of
// the few that were published first: lists follow each other after 0.25, 0.5, 1 and 2 s, and an
// answer may be a second old or more.
var publishChances = [...]float64{0.125, 0.125, 0.125, 0.5, 1}

// listsToDial is the number of lists with enough entries after which this daemon is published if it
// has no link with any of the listed ones. Before, their dials may still be under way.
const listsToDial = 2

// ownEntry is the state of this daemon's entry on a page.
type ownEntry int

const (
	ownEntryMissing ownEntry = iota
	ownEntryWrong
	ownEntryCorrect
)

// listing is what one page of the directory shows.
type listing struct {
	entries int
	own     ownEntry
	// linked is true if a link with one of the listed daemons is open.
	linked bool
	// next is the name after which the following page begins; empty on the last page.
	next string
}

// isEnough reports whether the page has as many entries as are wanted, or as it can have.
func (l listing) isEnough() bool { return l.entries >= wantedEntries || l.next != "" }

// directorySearch holds the progress of a daemon that looks for others in the directory.
type directorySearch struct {
	// after is the name after which the next page to read begins.
	after string
	// lists is the number of lists since the last that was enough.
	lists int
	// fullLists is the number of those that had enough entries.
	fullLists int
	// published is true once this daemon was written to the directory in this search.
	published bool
}

// settled reports whether the daemon needs no further lists to be part of the fleet: its entry is on
// the page, or it is linked to a listed daemon and its entry is written or not wanted.
func (s *directorySearch) settled(found listing) bool {
	switch {
	case found.own == ownEntryCorrect:
		return true
	case !found.linked:
		return false
	default:
		return s.published || (found.own == ownEntryMissing && found.isEnough())
	}
}

// restart begins a search after entries may have been lost. The daemons' lists are spread over time
// then, so there is no need to wait for the entries of others.
func (s *directorySearch) restart() {
	*s = directorySearch{lists: len(publishChances), fullLists: listsToDial}
}

// mustPublish reports whether to write this daemon's entry after a list; random is between 0 and 1.
func (s *directorySearch) mustPublish(found listing, random float64) bool {
	switch {
	case s.settled(found) || s.published:
		return false
	case found.own == ownEntryWrong:
		return true
	case found.isEnough() && s.fullLists < listsToDial:
		return false
	default:
		return random < publishChances[min(s.lists, len(publishChances)-1)]
	}
}

// advance records a list and selects the next page: the first one, or the following one if none of
// the listed daemons could be reached although there was time to dial them.
func (s *directorySearch) advance(found listing) {
	if s.settled(found) {
		s.after, s.lists, s.fullLists = "", 0, 0
		return
	}
	s.lists++
	if found.isEnough() {
		s.fullLists++
	}
	if found.linked || s.lists < len(publishChances) {
		s.after = ""
		return
	}
	s.after = found.next
}
