package pipeline

import "github.com/lapisvane/lapisvane/internal/transport/httpinput"

// Sizes in bytes of the input that is read ahead to detect a disconnect of the caller: the caller's close is
// behind all that it has sent, and reaches this machine only when there is room for what is before it. While
// as much is held as the limit allows, a disconnect is not detected until some of it is consumed.
const (
	// initialLookaheadBytes is the size of the first piece; each further one is twice as long, up to
	// maxLookaheadPieceBytes.
	initialLookaheadBytes  = 512
	maxLookaheadPieceBytes = 32 << 10
	// maxLookaheadBytes is the limit behind a request that was read. It needs no reservation.
	maxLookaheadBytes = 32 << 10
	// maxBodyLookaheadBytes is the limit while a body waits to be read. It holds the usual uploads, so that
	// those whose callers have left do not reach an instance. All of it is reserved in Config.InputMemory: many
	// callers may leave long bodies unfinished.
	maxBodyLookaheadBytes = 512 << 10
)

// lookahead holds input that was read ahead of the HTTP library, in the order of its arrival.
type lookahead struct {
	// memory may be nil: then nothing is read ahead of a body.
	memory *httpinput.Memory
	pieces []lookaheadPiece
	// held is the total length of pieces.
	held int
}

// lookaheadPiece is a part of the input that one or several reads returned.
type lookaheadPiece struct {
	content []byte
	// reserved is the number of bytes that are reserved in memory for the piece.
	reserved int64
}

// newPiece returns an empty piece of at most size bytes, so that no more than limit bytes are held once it is
// filled. ok is false if there is no room for another byte.
func (l *lookahead) newPiece(size, limit int) (piece lookaheadPiece, ok bool) {
	size = min(size, limit-l.held)
	if size <= 0 {
		return lookaheadPiece{}, false
	}
	if limit > maxLookaheadBytes {
		if l.memory == nil || !l.memory.Reserve(int64(size)) {
			return lookaheadPiece{}, false
		}
		piece.reserved = int64(size)
	}
	piece.content = make([]byte, size)
	return piece, true
}

// add appends a piece.
func (l *lookahead) add(piece lookaheadPiece) {
	if len(piece.content) == 0 {
		l.release(piece)
		return
	}
	l.pieces = append(l.pieces, piece)
	l.held += len(piece.content)
}

// take moves the oldest bytes to buffer and returns their number.
func (l *lookahead) take(buffer []byte) int {
	if l.held == 0 {
		return 0
	}
	oldest := &l.pieces[0]
	count := copy(buffer, oldest.content)
	oldest.content = oldest.content[count:]
	l.held -= count
	if len(oldest.content) > 0 {
		return count
	}
	l.release(*oldest)
	l.pieces[0] = lookaheadPiece{}
	l.pieces = l.pieces[1:]
	if len(l.pieces) == 0 {
		l.pieces = nil
	}
	return count
}

// discard drops all that is held.
func (l *lookahead) discard() {
	for _, piece := range l.pieces {
		l.release(piece)
	}
	l.pieces, l.held = nil, 0
}

func (l *lookahead) release(piece lookaheadPiece) {
	if piece.reserved > 0 {
		l.memory.Release(piece.reserved)
	}
}
