package protocol

// MaxBody is the limit on request bodies, and on answers to users and workers, in bytes.
const MaxBody = 64 << 10

// ContentType is that of every body.
const ContentType = "application/msgpack"

// How long users wait for an answer, in seconds.
const (
	SubmitTimeoutS = 5
	PollTimeoutS   = 2
)
