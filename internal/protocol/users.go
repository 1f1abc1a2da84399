package protocol

// Values of JobResponse.Status.
const (
	StatusQueued    = "queued"
	StatusRunning   = "running"
	StatusDone      = "done"
	StatusCancelled = "withdrawn"
)

// JobResponse is the response to a user's request about a job.
type JobResponse struct {
	ID      string `msgpack:"id"`
	Status  string `msgpack:"status"`
	Done    *int   `msgpack:"done,omitempty"`    // number of tasks done; omitted if nil
	Running *int   `msgpack:"running,omitempty"` // number of tasks running; omitted if nil
}

// wireError is the wire format of an error response.
type wireError struct {
	Text string `msgpack:"error"`
}

// EncodeError returns the body of an error response.
func EncodeError(text string) []byte { return Encode(wireError{Text: text}) }
