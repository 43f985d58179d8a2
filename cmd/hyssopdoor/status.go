package main

import (
	"context"
	"fmt"
	"io"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/router"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/operator"
)

const statusUsage = `Shows what an instance knows: the configuration in force, its peers and theirs,
the backend servers, who holds the teams' rates, and the teams' limits. Tokens
are prompt and answer tokens; times are in milliseconds.

Example:
  hyssopdoor status --operator 10.0.0.1:8081`

// statusCommand shows the status.
type statusCommand struct{ remote }

// Execute runs the command.
func (s *statusCommand) Execute([]string) error {
	return ask(&s.remote, func(ctx context.Context, client *operator.Client) (router.Status, error) {
		return client.Status(ctx)
	}, printStatus)
}

func printStatus(w io.Writer, status router.Status) {
	fmt.Fprintf(w, "instance\t%s\ndomain\t%s\nrevision\t%d\n", status.Instance, status.Domain, status.Revision)
	fmt.Fprintf(w, "in flight\t%d\nplatform down\t%t\ndraining\t%t\n", status.InFlight, status.PlatformDown, status.Draining)
	fmt.Fprintln(w, "\nPEER\tDOMAIN\tALIVE\tLEAVING\tREVISION")
	for _, peer := range status.Peers {
		fmt.Fprintf(w, "%s\t%s\t%t\t%t\t%d\n", peer.Instance, peer.Domain, peer.Alive, peer.Leaving, peer.Revision)
	}
	fmt.Fprintln(w, "\nSERVER\tROLE\tDOMAIN\tSTATE\tSUSPECT\tIN FLIGHT")
	for _, server := range status.Servers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\t%d\n", server.Server, server.Role, server.Domain, server.State, server.Suspect, server.InFlight)
	}
	fmt.Fprintln(w, "\nLEASE\tHOLDER\tTERM\tHELD FOR")
	for _, lease := range status.Leases {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", lease.Lease, lease.Holder, lease.Term, lease.Remaining)
	}
	fmt.Fprintln(w, "\nTEAM\tRATE\tBURST\tHELD HERE")
	for _, team := range status.Teams {
		held := "-"
		if team.Held {
			held = fmt.Sprint(team.Balance)
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", team.Team, team.Rate, team.Burst, held)
	}
}
