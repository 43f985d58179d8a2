package config

import "github.com/hyssopdoor/hyssopdoor/pkg/collector"

// maxNameLength bounds names, in bytes.
const maxNameLength = 64

// validateName reports a name that can't stand in paths, log lines and names of
// objects.
func validateName(name string, place collector.Place, findings *collector.Collector) {
	if isPlain(name) {
		return
	}
	findings.Add(place, "has the name "+quote(name), "use 1 to 64 letters, digits, dots, hyphens and underscores, beginning with a letter or digit")
}

func isPlain(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for i, r := range name {
		letter := (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z') || (r >= '0' && r <= '9')
		mark := r == '.' || r == '-' || r == '_'
		if !letter && (!mark || i == 0) {
			return false
		}
	}
	return true
}
