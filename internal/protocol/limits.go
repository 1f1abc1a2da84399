package protocol

// MaxBody is the maximum size of request bodies, and of responses to users and workers, in bytes.
const MaxBody = 64 << 10

// ContentType is the content type of all request and response bodies.
const ContentType = "application/msgpack"

// Seconds that users wait for a response.
const (
	SubmitTimeoutS = 5
	PollTimeoutS   = 2
)
