package config

import "github.com/hyssopdoor/hyssopdoor/pkg/collector"

// maxNameLength is the maximum length of a name in bytes.
const maxNameLength = 64

// validateName reports a name that can't be used in paths, log lines and object
// names.
func validateName(name string, position collector.Position, findings *collector.Collector) {
	if isValidName(name) {
		return
	}
	findings.Add(position, "has the name "+quote(name), "use 1 to 64 letters, digits, dots, hyphens and underscores, beginning with a letter or digit")
}

func isValidName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for i, r := range name {
		letterOrDigit := (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z') || (r >= '0' && r <= '9')
		punctuation := r == '.' || r == '-' || r == '_'
		if !letterOrDigit && (!punctuation || i == 0) {
			return false
		}
	}
	return true
}
