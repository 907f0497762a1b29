package provider

// numberBits is the number of low bits of a version that hold its number: enough for a
// century of 5,000 transactions a second. Versions of the first 500 eras are exact as
// floating-point numbers.
const numberBits = 44

// MaxNumber and MaxEra are the highest parts of a version.
const (
	MaxNumber = 1<<numberBits - 1
	MaxEra    = 1<<(64-numberBits) - 1
)

// JoinVersion returns the version for a number that a store has given out in an era. When a
// store comes back from a copy, its numbers go back and are given out again for other
// values, and its era rises. Versions increase all the same, and are equal only if they name
// the same value. The era is zero for a store that has none.
func JoinVersion(era, number uint64) uint64 {
	return era<<numberBits | min(number, MaxNumber)
}

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 { return version >> numberBits }

// SplitVersion returns the parts of a version.
func SplitVersion(version uint64) (era, number uint64) {
	return EraOf(version), version & MaxNumber
}
