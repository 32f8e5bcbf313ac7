package gateway

import "cmp"

// Position is an offset of a topic in an era of the store. An era begins each time the store is restored from a copy: offsets
// go back then, and are given out again for other records.
type Position struct{ era, offset int64 }

// NewPosition returns the offset of the era.
func NewPosition(era, offset int64) Position { return Position{era: era, offset: offset} }

// Era returns the era.
func (p Position) Era() int64 { return p.era }

// Offset returns the offset.
func (p Position) Offset() int64 { return p.offset }

// before reports whether the other position is further: in a later era, or at a higher offset of the same one.
func (p Position) before(o Position) bool {
	return cmp.Or(cmp.Compare(p.era, o.era), cmp.Compare(p.offset, o.offset)) < 0
}
