package protocol

// What users are told of a job.
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
	Done    *int   `msgpack:"done,omitempty"`
	Running *int   `msgpack:"running,omitempty"`
}

// EncodeError is the body of a refusal.
func EncodeError(text string) []byte { return Encode(map[string]string{"error": text}) }
