// Package hash spreads hash values, for rendezvous hashing and rings.
package hash

// Mix is the finalizer of splitmix64: values that differ in few bits give values
// that differ in many.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
