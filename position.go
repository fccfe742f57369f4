package wardturn

import "strconv"

// Position is a position in a topic of the platform's metadata store. It combines an offset
// with an era, a number that increases each time the store is restored from an older copy and
// reuses offsets. So a later position always compares higher. A negative position is before
// all others.
type Position int64

// eraShift is the number of bits of a position that hold the offset.
const eraShift = 40

// The maximum values of the parts of a position.
const (
	MaxOffset = 1<<eraShift - 1
	MaxEra    = 1<<(62-eraShift) - 1
)

// NewPosition returns the position of an offset in an era of the store. Parts that are out
// of range are clamped.
func NewPosition(era, offset int64) Position {
	return Position(clamp(era, MaxEra)<<eraShift | clamp(offset, MaxOffset))
}

func clamp(n, limit int64) int64 {
	return max(0, min(n, limit))
}

// Era returns the number that increases each time the store is restored from an older copy.
func (p Position) Era() int64 {
	return int64(p) >> eraShift
}

// Offset returns the offset within the era.
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
