package operator

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"

	"github.com/kataras/iris/v12"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/encoder"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/parser"
	"github.com/hyssopdoor/hyssopdoor/pkg/collector"
)

// Lengths of random texts, in bytes before their encoding.
const (
	operationBytes = 12
	keyIDBytes     = 6
	keySecretBytes = 24
)

func random(prefix string, length int) string {
	bytes := make([]byte, length)
	if _, err := rand.Read(bytes); err != nil {
		panic("operator.random: " + err.Error())
	}
	return prefix + hex.EncodeToString(bytes)
}

func newOperation() string {
	return random("o", operationBytes)
}

func (o *Operator) showConfig(ctx iris.Context) {
	configuration, revision, configRevision := o.configuration()
	if revision == 0 {
		ctx.StopWithJSON(http.StatusNotFound, Message{Message: "no configuration is in force yet; apply one with: config apply FILE"})
		return
	}
	_ = ctx.JSON(ConfigView{Config: encoder.Encode(configuration), Revision: revision, ConfigRevision: configRevision})
}

func (o *Operator) applyConfig(ctx iris.Context) {
	var change ConfigChange
	if !readBody(ctx, &change) {
		return
	}
	configuration, err := parser.Parse(change.File, []byte(change.Config))
	if err != nil {
		ctx.StopWithJSON(http.StatusUnprocessableEntity, Message{Message: "the configuration is not valid", Findings: lines(err)})
		return
	}
	operation := newOperation()
	result, ok := o.operate(ctx, operation, event.ConfigSubmitted{Operation: operation, Config: configuration, BaseRevision: change.Base})
	if !ok {
		return
	}
	_ = ctx.JSON(Message{Message: "the configuration is accepted", Outcome: result.Outcome, Revision: result.Revision})
}

func lines(err error) []string {
	findings, ok := err.(*collector.Collector)
	if !ok {
		return []string{err.Error()}
	}
	var texts []string
	for _, finding := range findings.Findings() {
		texts = append(texts, finding.String())
	}
	return texts
}

func readBody(ctx iris.Context, into any) bool {
	ctx.SetMaxRequestBodySize(maxBodyBytes)
	if err := ctx.ReadJSON(into); err != nil {
		ctx.StopWithJSON(http.StatusBadRequest, Message{Message: "the body is not the JSON object that is expected here: " + err.Error()})
		return false
	}
	return true
}

func (o *Operator) listKeys(ctx iris.Context) {
	configuration, _, _ := o.configuration()
	views := []KeyView{}
	for _, key := range configuration.SortedKeys() {
		views = append(views, KeyView{ID: key.ID, Team: key.Team})
	}
	_ = ctx.JSON(views)
}

func (o *Operator) issueKey(ctx iris.Context) {
	var wanted KeyWanted
	if !readBody(ctx, &wanted) {
		return
	}
	view := KeyView{ID: random("k", keyIDBytes), Team: wanted.Team, Secret: random("hd-", keySecretBytes)}
	operation := newOperation()
	if _, ok := o.operate(ctx, operation, event.KeyIssueRequested{Operation: operation, ID: view.ID, Team: view.Team, Secret: secret.New(view.Secret)}); ok {
		_ = ctx.JSON(view)
	}
}

func (o *Operator) withdrawKey(ctx iris.Context) {
	operation := newOperation()
	result, ok := o.operate(ctx, operation, event.KeyWithdrawalRequested{Operation: operation, ID: ctx.Params().Get("id")})
	if ok {
		_ = ctx.JSON(Message{Message: "the key is withdrawn", Outcome: result.Outcome, Revision: result.Revision})
	}
}
