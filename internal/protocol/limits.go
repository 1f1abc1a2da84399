package protocol

// MaxBody is the limit on request bodies, and on answers to users and workers.
const MaxBody = 64 << 10

// ContentType is what bodies are labelled.
const ContentType = "application/msgpack"

// How long users wait for an answer, in seconds.
const (
	SubmitTimeoutS = 5
	PollTimeoutS   = 2
)
