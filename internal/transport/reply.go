package transport

import (
	"net/http"
	"strconv"

	"github.com/valyala/fasthttp"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// retryAfterS is after how many seconds a refused request may come again.
const retryAfterS = 1

// headerRetryAfter holds a number of seconds.
const headerRetryAfter = "Retry-After"

var (
	healthyReply     = message.Reply{Status: http.StatusOK, Body: protocol.Encode(map[string]bool{"ok": true})}
	methodNotAllowed = message.Reply{Status: http.StatusMethodNotAllowed, Body: protocol.EncodeError("wrong method")}
	notFound         = message.Reply{Status: http.StatusNotFound, Body: protocol.EncodeError("no such path")}
)

// Unavailable refuses a request that may come again soon.
func Unavailable(reason string) message.Reply {
	return message.Reply{
		Status: http.StatusServiceUnavailable, Body: protocol.EncodeError(reason), RetryAfterS: retryAfterS,
	}
}

// badRequest refuses a request that the sender has to correct.
func badRequest(reason string) message.Reply {
	return message.Reply{Status: http.StatusBadRequest, Body: protocol.EncodeError(reason)}
}

// WriteReply writes a reply with the standard library's server.
func WriteReply(w http.ResponseWriter, contentType string, reply message.Reply) {
	w.Header().Set("Content-Type", contentType)
	if reply.RetryAfterS > 0 {
		w.Header().Set(headerRetryAfter, strconv.Itoa(reply.RetryAfterS))
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body) // a sender that has gone asks again
}

// WriteFastHTTPReply writes a reply with the fasthttp server. The body is copied.
func WriteFastHTTPReply(ctx *fasthttp.RequestCtx, contentType string, reply message.Reply) {
	ctx.SetStatusCode(reply.Status)
	ctx.SetContentType(contentType)
	if reply.RetryAfterS > 0 {
		ctx.Response.Header.Set(headerRetryAfter, strconv.Itoa(reply.RetryAfterS))
	}
	if reply.CloseConnection {
		ctx.SetConnectionClose()
	}
	ctx.SetBody(reply.Body)
}
