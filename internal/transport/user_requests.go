package transport

import (
	"net/http"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// userTimeout returns the time within which a request of a kind is answered. It leaves a quarter of
// the user's own timeout for the response to arrive.
func userTimeout(kind message.UserRequestKind) time.Duration {
	if kind == message.Poll {
		return protocol.PollTimeoutS * time.Second * 3 / 4
	}
	return protocol.SubmitTimeoutS * time.Second * 3 / 4
}

// handleUserRequest answers a user's request that came directly or from a peer.
func handleUserRequest(handler RequestHandler, limit *ConcurrencyLimit, raw RawRequest) message.Reply {
	request, refusal, ok := parseUserRequest(raw)
	if !ok {
		return refusal
	}
	// Cancellations are never shed, nor are requests that a peer has already admitted.
	if request.Kind == message.Cancel || raw.FromPeer {
		return handler.Handle(request, raw, userTimeout(request.Kind))
	}
	answer := func() message.Reply { return handler.Handle(request, raw, userTimeout(request.Kind)) }
	if request.Kind == message.Submit {
		return limit.RunWithPriority(answer)
	}
	return limit.Run(answer)
}

// parseUserRequest decodes a user's request. If it is invalid, ok is false and refusal is the reply.
func parseUserRequest(raw RawRequest) (request message.UserRequest, refusal message.Reply, ok bool) {
	job, cancel, ok := protocol.SplitJobPath(raw.Path)
	if !ok {
		return request, notFound, false
	}
	request.Job = job
	method := http.MethodPost
	switch {
	case job == "":
		request.Kind = message.Submit
	case cancel:
		request.Kind = message.Cancel
	default:
		request.Kind, method = message.Poll, http.MethodGet
	}
	if raw.Method != method {
		return request, methodNotAllowed, false
	}
	if request.Kind == message.Submit {
		submission, err := protocol.DecodeSubmission(raw.Body)
		if err != nil {
			return request, badRequest(err.Error()), false
		}
		request.Submission, request.Job = submission, submission.ID
	}
	return request, message.Reply{}, true
}
