package config

import (
	"fmt"
	"reflect"
)

// Diff returns one line for each workspace, service and preset that was added (+), changed (~) or removed (-); from may
// be nil.
func Diff(from, to *Declaration) []string {
	if from == nil {
		from = &Declaration{}
	}
	var lines []string
	lines = append(lines, diffByName("workspace", from.workspaces, to.workspaces, Workspace.Name)...)
	lines = append(lines, diffByName("service", from.services, to.services, Service.Name)...)
	lines = append(lines, diffByName("preset", from.presets, to.presets, Preset.Name)...)
	return lines
}

// diffByName compares two lists of items of one kind, matched by name.
func diffByName[T any](kind string, from, to []T, name func(T) string) []string {
	unmatched := make(map[string]T, len(from))
	for _, item := range from {
		unmatched[name(item)] = item
	}
	var lines []string
	for _, item := range to {
		previous, ok := unmatched[name(item)]
		delete(unmatched, name(item))
		switch {
		case !ok:
			lines = append(lines, fmt.Sprintf("+ %s %s: %+v", kind, name(item), item))
		case !reflect.DeepEqual(previous, item):
			lines = append(lines, fmt.Sprintf("~ %s %s: %+v -> %+v", kind, name(item), previous, item))
		}
	}
	for _, item := range from {
		if _, removed := unmatched[name(item)]; removed {
			lines = append(lines, fmt.Sprintf("- %s %s", kind, name(item)))
		}
	}
	return lines
}
