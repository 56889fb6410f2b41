package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// writeOutcome adds the fields of the system's own, where the envelope has
// them.
func (g *Gateway) writeOutcome(rc *app.RequestContext, code result.Code, outcome string) {
	if name := g.config.Envelope.Result; name != "" {
		rc.Response.Header.Set(name, strconv.FormatUint(uint64(code), 10))
	}
	if name := g.config.Envelope.Outcome; name != "" {
		rc.Response.Header.Set(name, outcome)
	}
}

// writeHead copies the answer's status and end-to-end fields.
func (g *Gateway) writeHead(rc *app.RequestContext, head *lapisv1.CallHead) {
	rc.SetStatusCode(int(head.GetStatus()))
	for _, field := range head.GetHeaders() {
		name := strings.ToLower(field.GetName())
		switch name {
		case "content-length", "trailer":
		case "content-type":
			rc.Response.Header.SetContentType(field.GetValue())
		default:
			rc.Response.Header.Add(field.GetName(), field.GetValue())
		}
	}
	g.writeOutcome(rc, result.OK, callapi.OutcomeDone)
}

// hasNoBody reports whether an answer never has a body.
func hasNoBody(method string, status uint32) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// readWhole reads a small answer to its end. Errors: CallTruncated and those
// of the call.
func readWhole(answer *callapi.Answer) ([]byte, error) {
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, err
	}
	if length := answer.Head.GetContentLength(); length >= 0 && int64(len(body)) != length {
		return nil, result.Errorf(result.CallTruncated, "%d of %d bytes", len(body), length)
	}
	return body, nil
}
