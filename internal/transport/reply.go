package transport

import (
	"net/http"
	"strconv"

	"github.com/valyala/fasthttp"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// retryAfterS is the number of seconds after which a refused request may be retried.
const retryAfterS = 1

// retryAfterHeader is the header with the delay of a retry, in seconds.
const retryAfterHeader = "Retry-After"

var (
	healthyReply     = message.Reply{Status: http.StatusOK, Body: protocol.Encode(map[string]bool{"ok": true})}
	methodNotAllowed = message.Reply{Status: http.StatusMethodNotAllowed, Body: protocol.EncodeError("wrong method")}
	notFound         = message.Reply{Status: http.StatusNotFound, Body: protocol.EncodeError("no such path")}
)

// Unavailable returns a refusal that the sender may retry soon.
func Unavailable(reason string) message.Reply {
	return message.Reply{
		Status: http.StatusServiceUnavailable, Body: protocol.EncodeError(reason), RetryAfterS: retryAfterS,
	}
}

// badRequest returns a refusal of a request that the sender has to correct.
func badRequest(reason string) message.Reply {
	return message.Reply{Status: http.StatusBadRequest, Body: protocol.EncodeError(reason)}
}

// WriteReply sends a reply as the response of a net/http handler.
func WriteReply(w http.ResponseWriter, contentType string, reply message.Reply) {
	w.Header().Set("Content-Type", contentType)
	if reply.RetryAfterS > 0 {
		w.Header().Set(retryAfterHeader, strconv.Itoa(reply.RetryAfterS))
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body) // a client that has disconnected will retry
}

// WriteFastHTTPReply sends a reply as the response of a fasthttp handler. It copies the body.
func WriteFastHTTPReply(ctx *fasthttp.RequestCtx, contentType string, reply message.Reply) {
	ctx.SetStatusCode(reply.Status)
	ctx.SetContentType(contentType)
	if reply.RetryAfterS > 0 {
		ctx.Response.Header.Set(retryAfterHeader, strconv.Itoa(reply.RetryAfterS))
	}
	if reply.CloseConnection {
		ctx.SetConnectionClose()
	}
	ctx.SetBody(reply.Body)
}
