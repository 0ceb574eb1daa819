package config

import "reflect"

// Differences returns the keys whose values differ between a and b, in the
// order of the settings.
func Differences(a, b Config) []string {
	return differences("", reflect.ValueOf(a), reflect.ValueOf(b))
}

func differences(prefix string, a, b reflect.Value) []string {
	var keys []string
	for n := range a.NumField() {
		key := prefix + a.Type().Field(n).Tag.Get("toml")
		if isTable(a.Field(n)) {
			keys = append(keys, differences(key+".", a.Field(n), b.Field(n))...)
			continue
		}
		if !reflect.DeepEqual(a.Field(n).Interface(), b.Field(n).Interface()) {
			keys = append(keys, key)
		}
	}
	return keys
}

// isTable reports whether the value is a table of the settings rather than one
// value.
func isTable(v reflect.Value) bool {
	return v.Kind() == reflect.Struct && v.Type() != reflect.TypeFor[Duration]()
}
