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

// Lengths of random identifiers and secrets, in bytes before they are encoded as hex.
const (
	operationIDBytes = 12
	keyIDBytes       = 6
	keySecretBytes   = 24
)

// randomHex returns the prefix followed by random bytes in hex.
func randomHex(prefix string, length int) string {
	random := make([]byte, length)
	if _, err := rand.Read(random); err != nil {
		panic("operator.randomHex: " + err.Error())
	}
	return prefix + hex.EncodeToString(random)
}

func newOperationID() string {
	return randomHex("o", operationIDBytes)
}

func (h *Handler) showConfig(ctx iris.Context) {
	configuration, revision, configRevision := h.configuration()
	if revision == 0 {
		ctx.StopWithJSON(http.StatusNotFound, OperationResponse{Message: "no configuration is in force yet; apply one with: config apply FILE"})
		return
	}
	_ = ctx.JSON(ConfigView{Config: encoder.Encode(configuration), Revision: revision, ConfigRevision: configRevision})
}

func (h *Handler) applyConfig(ctx iris.Context) {
	var change ConfigChange
	if !readBody(ctx, &change) {
		return
	}
	configuration, err := parser.Parse(change.File, []byte(change.Config))
	if err != nil {
		ctx.StopWithJSON(http.StatusUnprocessableEntity, OperationResponse{Message: "the configuration is not valid", Findings: errorTexts(err)})
		return
	}
	operation := newOperationID()
	result, ok := h.runOperation(ctx, operation, event.ConfigSubmitted{Operation: operation, Config: configuration, BaseRevision: change.Base})
	if !ok {
		return
	}
	_ = ctx.JSON(OperationResponse{Message: "the configuration is accepted", Outcome: result.Outcome, Revision: result.Revision})
}

// errorTexts returns the findings in err, or err itself if it has none.
func errorTexts(err error) []string {
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

// readBody decodes the request's JSON body into out. It reports whether that succeeded,
// and writes the error response if not.
func readBody(ctx iris.Context, out any) bool {
	ctx.SetMaxRequestBodySize(maxBodyBytes)
	if err := ctx.ReadJSON(out); err != nil {
		ctx.StopWithJSON(http.StatusBadRequest, OperationResponse{Message: "the body is not the JSON object that is expected here: " + err.Error()})
		return false
	}
	return true
}

func (h *Handler) listKeys(ctx iris.Context) {
	configuration, _, _ := h.configuration()
	views := []KeyView{}
	for _, key := range configuration.SortedKeys() {
		views = append(views, KeyView{ID: key.ID, Team: key.Team})
	}
	_ = ctx.JSON(views)
}

func (h *Handler) issueKey(ctx iris.Context) {
	var request IssueKeyRequest
	if !readBody(ctx, &request) {
		return
	}
	view := KeyView{ID: randomHex("k", keyIDBytes), Team: request.Team, Secret: randomHex("hd-", keySecretBytes)}
	operation := newOperationID()
	if _, ok := h.runOperation(ctx, operation, event.KeyIssueRequested{Operation: operation, ID: view.ID, Team: view.Team, Secret: secret.New(view.Secret)}); ok {
		_ = ctx.JSON(view)
	}
}

func (h *Handler) withdrawKey(ctx iris.Context) {
	operation := newOperationID()
	result, ok := h.runOperation(ctx, operation, event.KeyWithdrawalRequested{Operation: operation, ID: ctx.Params().Get("id")})
	if ok {
		_ = ctx.JSON(OperationResponse{Message: "the key is withdrawn", Outcome: result.Outcome, Revision: result.Revision})
	}
}
