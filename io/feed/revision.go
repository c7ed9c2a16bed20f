package feed

// A revision orders the states of a store across its restores from backups. Its lower bits count the store's transactions; a restored
// store gives out counts again that it had given out before, so the upper bits hold the store's generation, which grows with each
// restore.
const (
	generationShift = 40
	// MaxCount is the largest count of transactions in a revision.
	MaxCount = 1<<generationShift - 1
	// MaxGeneration is the largest generation; revisions are exact in floating-point numbers up to it, since fencing numbers are sent
	// as JSON numbers.
	MaxGeneration = 1<<(53-generationShift) - 1
)

// NewRevision returns the revision of a generation, at most MaxGeneration, and a count of transactions, at most MaxCount.
func NewRevision(generation, count uint64) uint64 { return generation<<generationShift | count }

// Generation returns the generation of a revision.
func Generation(revision uint64) uint64 { return revision >> generationShift }

// Count returns the count of transactions within the generation of a revision.
func Count(revision uint64) uint64 { return revision & MaxCount }
