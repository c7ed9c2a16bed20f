package crash

// requestBit is set in the keys of requests, and not in those of parts.
const requestBit = 1 << 63

// RequestKey returns the key of a request with a hash of what is the same each time that its caller repeats it.
func RequestKey(hash uint64) uint64 { return hash | requestBit }

// PartKey returns the key of a part of prompts with a hash of its id.
func PartKey(hash uint64) uint64 { return hash &^ requestBit }

func isRequest(key uint64) bool { return key&requestBit != 0 }
