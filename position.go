package wardturn

import "strconv"

// Position is a place in a record of the platform's store. Later places have higher
// positions, also across the store's return from an older copy of itself, after which it
// gives out its offsets again. A negative one is before everything.
type Position int64

// eraShift is the number of bits of a position that hold the offset.
const eraShift = 40

// The greatest parts that a position can hold.
const (
	MaxOffset = 1<<eraShift - 1
	MaxEra    = 1<<(62-eraShift) - 1
)

// NewPosition returns the position of an offset in an era of the store.
func NewPosition(era, offset int64) Position {
	return Position(clamp(era, MaxEra)<<eraShift | clamp(offset, MaxOffset))
}

func clamp(n, most int64) int64 {
	return max(0, min(n, most))
}

// Era returns the number that rises each time the store comes back.
func (p Position) Era() int64 {
	return int64(p) >> eraShift
}

// Offset returns the offset in the era.
func (p Position) Offset() int64 {
	return int64(p) & MaxOffset
}

// String returns "era/offset", or "none" for a negative position.
func (p Position) String() string {
	if p < 0 {
		return "none"
	}
	return strconv.FormatInt(p.Era(), 10) + "/" + strconv.FormatInt(p.Offset(), 10)
}
