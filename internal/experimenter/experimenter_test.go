package experimenter_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
	"github.com/hyssopdoor/hyssopdoor/internal/experimenter"
)

func TestShippedExperimentsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../docs/experiments/*.ini")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		_, err = experimenter.Parse(file, data)
		require.NoError(t, err)
	}
}

func TestParseFindings(t *testing.T) {
	_, err := experimenter.Parse("x.ini", []byte("[fleet]\n[experiment]\nseeds = one\nduration = soon\npolicies = predcited, random\n[teams]\nweights = crew\n[workload]\nguides = -1\nguide = 2\n"))
	require.Error(t, err)
	for _, finding := range []string{
		"fleet.domains: names no failure domain",
		"x.ini:3: experiment.seeds: has one, which is no number",
		"x.ini:4: experiment.duration: is not a positive time",
		"x.ini:5: experiment.policies: names the unknown policy predcited",
		"x.ini:7: teams.weights: has crew, which is not NAME:WEIGHT",
		"x.ini:9: workload.guides: is not a positive number",
		"x.ini:10: workload.guide: is an unknown key",
	} {
		require.ErrorContains(t, err, finding)
	}
}

// TestRunCompletesAllRequests verifies that a small experiment whose demand stays
// within the teams' rates gets a complete response for every request.
func TestRunCompletesAllRequests(t *testing.T) {
	data, err := os.ReadFile("../../docs/experiments/press.ini")
	require.NoError(t, err)
	options, err := experimenter.Parse("press.ini", data)
	require.NoError(t, err)
	options.Seeds = []uint64{1}
	options.Policies = []balancer.Policy{balancer.Predicted}
	options.Workload.Duration = 2 * time.Second
	options.Workload.Rate = 20
	results, err := experimenter.Run(context.Background(), options, func(experimenter.Result) {})
	require.NoError(t, err)
	require.Len(t, results, 1)
	require.Positive(t, results[0].Requests)
	require.Equal(t, results[0].Requests, results[0].Answered)
	require.Positive(t, results[0].P50Millis)
}
