// Package hash mixes 64-bit hash values for rendezvous hashing and hash rings.
//
// Mix is given hash values that may be close to each other and returns values
// spread over all 64 bits. It is deterministic, so that every instance computes
// the same ranks, and it is not a cryptographic hash. Hashing of names, and the
// combination of several hash values into one, is left to the caller.
package hash

// Mix applies the finalizer of splitmix64 to x: inputs that differ in few bits give
// outputs that differ in many.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
