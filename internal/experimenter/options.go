package experimenter

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/chooser"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/inireader"
	"github.com/hyssopdoor/hyssopdoor/internal/workload"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
	"github.com/hyssopdoor/hyssopdoor/pkg/collector"
)

// Options are the properties of an experiment.
type Options struct {
	Domains []string
	// Engines is how many there are in each domain.
	Engines int
	// Prefill and Decode are the times for a token, CacheChunks the engine's cache.
	Prefill     time.Duration
	Decode      time.Duration
	CacheChunks int
	Policies    []chooser.Policy
	Seeds       []uint64
	// TeamRate is each team's rate, and TeamBurst its burst, in tokens.
	TeamRate  int64
	TeamBurst int64
	// Target is the class's target for the first token.
	Target   clock.Millis
	Workload workload.Options
}

// Parse reads an experiment from INI. The error has all findings.
func Parse(file string, data []byte) (Options, error) {
	findings := collector.New()
	document := inireader.New(file, data, findings)
	o := Options{}
	o.readFleet(document.Section("fleet"))
	o.readRuns(document.Section("experiment"))
	o.readTeams(document.Section("teams"))
	o.readWorkload(document.Section("workload"))
	document.Done()
	return o, findings.Err()
}

func (o *Options) readFleet(section *inireader.Section) {
	o.Domains = section.List("domains")
	if len(o.Domains) == 0 {
		section.Report("domains", "names no failure domain", "list the failure domains, such as: split-a, split-b")
	}
	o.Engines = int(section.Positive("engines", 3))
	o.Prefill = readTime(section, "prefill", 20*time.Microsecond)
	o.Decode = readTime(section, "decode", 2*time.Millisecond)
	o.CacheChunks = int(section.Positive("cacheChunks", 64))
}

func (o *Options) readRuns(section *inireader.Section) {
	for _, name := range section.List("policies") {
		policy := chooser.Policy(name)
		if !slices.Contains(chooser.Policies(), policy) {
			section.Report("policies", "names the unknown policy "+name, fmt.Sprintf("list some of: %s", chooser.Policies()))
		}
		o.Policies = append(o.Policies, policy)
	}
	if len(o.Policies) == 0 {
		o.Policies = chooser.Policies()
	}
	for _, text := range section.List("seeds") {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			section.Report("seeds", "has "+text+", which is no number", "list numbers, such as: 1, 2, 3")
		}
		o.Seeds = append(o.Seeds, seed)
	}
	if len(o.Seeds) == 0 {
		o.Seeds = []uint64{1}
	}
	o.Workload.Duration = readTime(section, "duration", 10*time.Second)
	o.Workload.Rate = float64(section.Positive("requestsPerSecond", 20))
	o.Target = section.Span("target", 1600*clock.Millisecond)
}

// readTeams reads the teams' parts of the requests as NAME:WEIGHT.
func (o *Options) readTeams(section *inireader.Section) {
	o.TeamRate = section.Positive("rate", 1_000_000)
	o.TeamBurst = section.Positive("burst", 10_000_000)
	for _, text := range section.List("weights") {
		name, weight, _ := strings.Cut(text, ":")
		number, err := strconv.ParseFloat(weight, 64)
		if err != nil || number <= 0 {
			section.Report("weights", "has "+text+", which is not NAME:WEIGHT", "list parts such as: crew:3, visitors:0.5")
			continue
		}
		o.Workload.Teams = append(o.Workload.Teams, workload.Team{Name: name, Weight: number})
	}
	if len(o.Workload.Teams) == 0 {
		section.Report("weights", "names no team", "list parts such as: crew:3, visitors:0.5")
	}
}

func (o *Options) readWorkload(section *inireader.Section) {
	w := &o.Workload
	w.Guides = int(section.Positive("guides", 4))
	w.Subjects = int(section.Positive("subjects", 3))
	w.Chapters = int(section.Positive("chapters", 3))
	w.GuideChunks = int(section.Positive("guideChunks", 2))
	w.SubjectChunks = int(section.Positive("subjectChunks", 1))
	w.ChapterChunks = int(section.Positive("chapterChunks", 1))
	w.HotShare = float64(section.Positive("hotPercent", 40)) / 100
	w.ShiftEvery = readTime(section, "shiftEvery", 5*time.Second)
	w.MaxTokens = section.Positive("maxTokens", 16)
}

// readTime reads a time that may be shorter than a millisecond.
func readTime(section *inireader.Section, key string, fallback time.Duration) time.Duration {
	text := section.Text(key, fallback.String())
	value, err := time.ParseDuration(text)
	if err != nil || value <= 0 {
		section.Report(key, "is not a positive time: "+strconv.Quote(text), "write a number with its unit, such as 20us or 2s")
		return fallback
	}
	return value
}
