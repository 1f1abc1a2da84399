package protocol

// MaxBody is the maximum size in bytes of request bodies, and of responses of controllers and
// workers. Responses of the state service and the cloud may be larger.
const MaxBody = 64 << 10

// ContentType is the content type of all request and response bodies.
const ContentType = "application/msgpack"

// Users' timeouts, in seconds. PollTimeoutS is for polls, SubmitTimeoutS for all other requests.
const (
	SubmitTimeoutS = 5
	PollTimeoutS   = 2
)
