package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/dispatcher"
)

// errorBody is the JSON form of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    action.Code `json:"code"`
	Message string      `json:"message"`
	Request string      `json:"request,omitempty"`
	// NotRun is true only if it is certain that nothing ran.
	NotRun bool `json:"notRun"`
	// RetryAfterMillis is the delay before a retry, in milliseconds; 0 if a retry is
	// of no use.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
}

func encodeRefusal(request string, refusal action.Refusal) []byte {
	encoded, err := json.Marshal(errorBody{Error: errorDetail{
		Code:             refusal.Code,
		Message:          refusal.Message,
		Request:          request,
		NotRun:           refusal.NotRun,
		RetryAfterMillis: int64(refusal.RetryAfter),
	}})
	if err != nil {
		panic("gateway.encodeRefusal: " + err.Error())
	}
	return encoded
}

// writeRefusal writes the error response of a request that the system itself ends.
func writeRefusal(w http.ResponseWriter, request string, refusal action.Refusal) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if request != "" {
		header.Set(dispatcher.RequestIDHeader, request)
	}
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(refusal.RetryAfter.CeilSeconds()))
	}
	w.WriteHeader(refusal.Status)
	_, _ = w.Write(encodeRefusal(request, refusal))
}
