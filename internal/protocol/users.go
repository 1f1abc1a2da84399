package protocol

// Statuses of a job, as users are told.
const (
	StatusQueued    = "queued"
	StatusRunning   = "running"
	StatusDone      = "done"
	StatusCancelled = "withdrawn"
)

// JobResponse tells a user about a job.
type JobResponse struct {
	ID      string `msgpack:"id"`
	Status  string `msgpack:"status"`
	Done    *int   `msgpack:"done,omitempty"`    // tasks; nil: not told
	Running *int   `msgpack:"running,omitempty"` // tasks; nil: not told
}

// wireError is the body of a refusal.
type wireError struct {
	Text string `msgpack:"error"`
}

// EncodeError is the body of a refusal.
func EncodeError(text string) []byte { return Encode(wireError{Text: text}) }
