package experimenter

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/inireader"
	"github.com/hyssopdoor/hyssopdoor/internal/workload"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
	"github.com/hyssopdoor/hyssopdoor/pkg/collector"
)

// Options are the parameters of an experiment.
type Options struct {
	Domains []string
	// EnginesPerDomain is the number of engines in each domain.
	EnginesPerDomain int
	// PrefillPerToken and DecodePerToken are an engine's processing times for a prompt
	// token and a generated token, CacheChunks the size of its cache in chunks.
	PrefillPerToken time.Duration
	DecodePerToken  time.Duration
	CacheChunks     int
	Policies        []balancer.Policy
	Seeds           []uint64
	// TeamRate is each team's rate in tokens a second, TeamBurst its burst in tokens.
	TeamRate  int64
	TeamBurst int64
	// FirstTokenTarget is the class's target for the time to the first token.
	FirstTokenTarget clock.Millis
	Workload         workload.Options
}

// Parse parses an experiment file in INI format. Its error lists all findings.
func Parse(file string, data []byte) (Options, error) {
	findings := collector.New()
	document := inireader.New(file, data, findings)
	o := Options{}
	o.readCluster(document.Section("fleet"))
	o.readExperiment(document.Section("experiment"))
	o.readTeams(document.Section("teams"))
	o.readWorkload(document.Section("workload"))
	document.ReportUnknown()
	return o, findings.Err()
}

func (o *Options) readCluster(section *inireader.Section) {
	o.Domains = section.List("domains")
	if len(o.Domains) == 0 {
		section.Report("domains", "names no failure domain", "list the failure domains, such as: split-a, split-b")
	}
	o.EnginesPerDomain = int(section.PositiveInt("engines", 3))
	o.PrefillPerToken = readDuration(section, "prefill", 20*time.Microsecond)
	o.DecodePerToken = readDuration(section, "decode", 2*time.Millisecond)
	o.CacheChunks = int(section.PositiveInt("cacheChunks", 64))
}

func (o *Options) readExperiment(section *inireader.Section) {
	for _, name := range section.List("policies") {
		policy := balancer.Policy(name)
		if !slices.Contains(balancer.Policies(), policy) {
			section.Report("policies", "names the unknown policy "+name, fmt.Sprintf("list some of: %s", balancer.Policies()))
		}
		o.Policies = append(o.Policies, policy)
	}
	if len(o.Policies) == 0 {
		o.Policies = balancer.Policies()
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
	o.Workload.Duration = readDuration(section, "duration", 10*time.Second)
	o.Workload.Rate = float64(section.PositiveInt("requestsPerSecond", 20))
	o.FirstTokenTarget = section.Duration("target", 1600*clock.Millisecond)
}

// readTeams reads the teams' limits and their weights as a list of NAME:WEIGHT.
func (o *Options) readTeams(section *inireader.Section) {
	o.TeamRate = section.PositiveInt("rate", 1_000_000)
	o.TeamBurst = section.PositiveInt("burst", 10_000_000)
	for _, text := range section.List("weights") {
		name, weight, _ := strings.Cut(text, ":")
		parsedWeight, err := strconv.ParseFloat(weight, 64)
		if err != nil || parsedWeight <= 0 {
			section.Report("weights", "has "+text+", which is not NAME:WEIGHT", "list parts such as: crew:3, visitors:0.5")
			continue
		}
		o.Workload.Teams = append(o.Workload.Teams, workload.Team{Name: name, Weight: parsedWeight})
	}
	if len(o.Workload.Teams) == 0 {
		section.Report("weights", "names no team", "list parts such as: crew:3, visitors:0.5")
	}
}

func (o *Options) readWorkload(section *inireader.Section) {
	w := &o.Workload
	w.Guides = int(section.PositiveInt("guides", 4))
	w.Subjects = int(section.PositiveInt("subjects", 3))
	w.Chapters = int(section.PositiveInt("chapters", 3))
	w.GuideChunks = int(section.PositiveInt("guideChunks", 2))
	w.SubjectChunks = int(section.PositiveInt("subjectChunks", 1))
	w.ChapterChunks = int(section.PositiveInt("chapterChunks", 1))
	w.HotGuideShare = float64(section.PositiveInt("hotPercent", 40)) / 100
	w.HotGuideInterval = readDuration(section, "shiftEvery", 5*time.Second)
	w.MaxTokens = section.PositiveInt("maxTokens", 16)
}

// readDuration reads a positive duration, which may be shorter than a millisecond.
func readDuration(section *inireader.Section, key string, fallback time.Duration) time.Duration {
	text := section.Text(key, fallback.String())
	duration, err := time.ParseDuration(text)
	if err != nil || duration <= 0 {
		section.Report(key, "is not a positive time: "+strconv.Quote(text), "write a number with its unit, such as 20us or 2s")
		return fallback
	}
	return duration
}
