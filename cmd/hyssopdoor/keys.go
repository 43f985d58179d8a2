package main

import (
	"context"
	"fmt"
	"io"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/operator"
)

const keysUsage = `The callers' keys. Only salted digests are stored: a secret is shown only once.`

const keysIssueUsage = `Issues a key for a team and prints its secret, which is not shown again.

Example:
  hyssopdoor keys issue --team crew-1`

const keysWithdrawUsage = `Withdraws the key with the identifier ID. Within seconds, every reachable
instance rejects it, on open connections as well.

Example:
  hyssopdoor keys withdraw k3f09c2`

const keysListUsage = `Lists the keys by team, without their secrets.

Example:
  hyssopdoor keys list --json`

// keysIssueCommand issues a key.
type keysIssueCommand struct {
	operatorOptions
	Team string `long:"team" required:"yes" value-name:"TEAM" description:"team that the key belongs to"`
}

// Execute runs the command.
func (k *keysIssueCommand) Execute([]string) error {
	return callOperator(&k.operatorOptions, func(ctx context.Context, client *operator.Client) (operator.KeyView, error) {
		return client.IssueKey(ctx, k.Team)
	}, func(w io.Writer, key operator.KeyView) {
		fmt.Fprintf(w, "id\t%s\nteam\t%s\nsecret\t%s\n", key.ID, key.Team, key.Secret)
	})
}

// keysWithdrawCommand withdraws a key.
type keysWithdrawCommand struct {
	operatorOptions
	Args struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (k *keysWithdrawCommand) Execute([]string) error {
	return callOperator(&k.operatorOptions, func(ctx context.Context, client *operator.Client) (operator.OperationResponse, error) {
		return client.WithdrawKey(ctx, k.Args.ID)
	}, printMessage)
}

// keysListCommand lists keys.
type keysListCommand struct{ operatorOptions }

// Execute runs the command.
func (k *keysListCommand) Execute([]string) error {
	return callOperator(&k.operatorOptions, func(ctx context.Context, client *operator.Client) ([]operator.KeyView, error) {
		return client.Keys(ctx)
	}, func(w io.Writer, keys []operator.KeyView) {
		fmt.Fprintln(w, "TEAM\tID")
		for _, key := range keys {
			fmt.Fprintf(w, "%s\t%s\n", key.Team, key.ID)
		}
	})
}
