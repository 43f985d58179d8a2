package config

import "github.com/hyssopdoor/hyssopdoor/pkg/collector"

// Team is a customer and its limit across the whole cluster.
type Team struct {
	Name string `json:"name"`
	// Rate is in tokens per second.
	Rate int64 `json:"rate"`
	// Burst is in tokens.
	Burst int64 `json:"burst"`
}

// maxTokens is the maximum of rates and bursts, so that sums can't overflow.
const maxTokens = 1_000_000_000_000

// TeamDefaults returns a Team with a limit of zero.
func TeamDefaults(name string) Team {
	return Team{Name: name}
}

func (t Team) validate(locate Locator, findings *collector.Collector) {
	section := "team " + t.Name
	validateName(t.Name, locate(section, ""), findings)
	if t.Rate <= 0 || t.Rate > maxTokens {
		findings.Add(locate(section, "rate"), "is not between 1 and 1000000000000", "give the tokens a second that the team may use")
	}
	if t.Burst <= 0 || t.Burst > maxTokens {
		findings.Add(locate(section, "burst"), "is not between 1 and 1000000000000", "give the tokens that the team may use at once")
	}
}
