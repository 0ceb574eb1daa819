// Package defaults fills in the options that a caller left out.
package defaults

// Set makes fallback of a value that is its type's zero.
func Set[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Number is a type of which a default may stand for what is not above 0.
type Number interface {
	~int | ~int64 | ~uint64 | ~float64
}

// Positive makes fallback of a number that is not above 0. It is for options
// where a negative number means no more than that none was given.
func Positive[N Number](value *N, fallback N) {
	if *value <= 0 {
		*value = fallback
	}
}
