package config

import (
	"reflect"
	"strings"
)

// yamlKeys returns the keys in the yaml tags of a struct.
func yamlKeys(structValue any) map[string]bool {
	tp := reflect.TypeOf(structValue)
	names := make(map[string]bool, tp.NumField())
	for i := range tp.NumField() {
		name, _, _ := strings.Cut(tp.Field(i).Tag.Get("yaml"), ",")
		names[name] = true
	}
	return names
}
