// Package defaults fills in default values of options.
package defaults

// Set sets *value to fallback if it is the zero value of its type.
func Set[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Number is the constraint of the numeric types that Positive supports.
type Number interface {
	~int | ~int64 | ~uint64 | ~float64
}

// Positive sets *value to fallback if it is 0 or negative. It is for options where a
// negative number has no meaning of its own.
func Positive[N Number](value *N, fallback N) {
	if *value <= 0 {
		*value = fallback
	}
}
