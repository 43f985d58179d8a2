// Package collector collects the validation errors of an input, called findings,
// each with its position, so that all of them are reported together instead of
// only the first.
//
// # Usage
//
//	findings := collector.New()
//	findings.Add(position, "is negative", "give a number of 0 or more")
//	return findings.Err()
package collector

import "strings"

// Collector collects findings. The zero value is ready for use. It is an error that
// lists all findings.
type Collector struct {
	findings []Finding
}

// New returns an empty Collector.
func New() *Collector {
	return &Collector{}
}

// Add adds a finding: a problem at the position and its fix.
func (c *Collector) Add(position Position, problem, fix string) {
	c.findings = append(c.findings, Finding{Position: position, Problem: problem, Fix: fix})
}

// Findings returns the findings in the order in which they were added.
func (c *Collector) Findings() []Finding {
	return c.findings
}

// Err returns nil if there are no findings, else the Collector as an error.
func (c *Collector) Err() error {
	if len(c.findings) == 0 {
		return nil
	}
	return c
}

// Error returns all findings, one per line.
func (c *Collector) Error() string {
	lines := make([]string, len(c.findings))
	for i, finding := range c.findings {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
