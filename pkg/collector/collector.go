// Package collector collects findings about an input, each with its place, so
// that all of them are reported together instead of one at a time.
//
// # Usage
//
//	findings := collector.New()
//	findings.Add(place, "is negative", "give a number of 0 or more")
//	return findings.Err()
package collector

import "strings"

// Collector is a growing list of findings. The zero value is ready for use.
type Collector struct {
	findings []Finding
}

// New returns an empty Collector.
func New() *Collector {
	return &Collector{}
}

// Add records that what stands at place is wrong, and how to mend it.
func (c *Collector) Add(place Place, what, cure string) {
	c.findings = append(c.findings, Finding{Place: place, What: what, Cure: cure})
}

// Findings returns what was recorded, in the order of recording.
func (c *Collector) Findings() []Finding {
	return c.findings
}

// Err returns nil when nothing was recorded, else the Collector as an error.
func (c *Collector) Err() error {
	if len(c.findings) == 0 {
		return nil
	}
	return c
}

// Error returns all findings, one a line.
func (c *Collector) Error() string {
	lines := make([]string, len(c.findings))
	for i, finding := range c.findings {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
