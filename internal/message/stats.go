package message

// Stats are counts since the start of the process. The JSON names are part of the administration API.
type Stats struct {
	JobsSubmitted   int64 `json:"submitted"`
	JobsPolled      int64 `json:"polled"`
	JobsCancelled   int64 `json:"cancelled"`
	Heartbeats      int64 `json:"reports"`
	StaleHeartbeats int64 `json:"stale_reports"`
	TasksStarted    int64 `json:"starts"`
	TasksLost       int64 `json:"tasks_lost"`
	TasksDone       int64 `json:"tasks_finished"`
	TasksPreempted  int64 `json:"tasks_preempted"`
	// FutilePreemptions counts the cycles that preempted tasks for a job after earlier ones had made no room for it.
	FutilePreemptions   int64 `json:"futile_preemptions"`
	ReplicasMoved       int64 `json:"replicas_moved"`
	TasksFailed         int64 `json:"tasks_failed"`
	TokensAdvanced      int64 `json:"tokens_raised"`
	TermsAcquired       int64 `json:"terms_taken"`
	MachinesProvisioned int64 `json:"machines_rented"`
	MachinesReleased    int64 `json:"machines_returned"`
	Writes              int64 `json:"writes"`
	WritesRetried       int64 `json:"writes_retried"`
	MachinesExamined    int64 `json:"machines_looked_at"`
	JobsExamined        int64 `json:"jobs_looked_at"`
	// Pauses is the number of times that the process was not scheduled for longer than the pause threshold.
	Pauses         int64 `json:"pauses"`
	PausedMs       int64 `json:"paused_ms"`
	LongestPauseMs int64 `json:"longest_pause_ms"`
	// RequestsDeferred is the number of requests that were held until a leader was known.
	RequestsDeferred int64 `json:"requests_deferred"`
}
