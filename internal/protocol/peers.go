package protocol

// StepDownRequest tells a peer that Leader leads in Term, and asks it to step down from all
// earlier terms. A request with a Term of 0 only probes the peer.
type StepDownRequest struct {
	Term   int64  `msgpack:"term"`
	Leader string `msgpack:"leader"`
	// QueriesArchiveSupport asks whether the peer can look up ended jobs in the archive.
	QueriesArchiveSupport bool `msgpack:"reads_archive,omitempty"`
	// QueriesMachineTypes asks a leader for the machine types that it knows.
	QueriesMachineTypes bool `msgpack:"asks_kinds,omitempty"`
}

// StepDownResponse reports whether the peer has stepped down from all terms before the request's.
type StepDownResponse struct {
	SteppedDown    bool  `msgpack:"released"`
	LastLoadedTerm int64 `msgpack:"taken"` // last term whose records the peer's process has loaded; 0 if there is none
	UptimeMs       int64 `msgpack:"up_ms"` // time since the peer's process started
	// ReadsArchive reports whether the peer can look up ended jobs in the archive. It is set only if
	// the request has QueriesArchiveSupport, and never by earlier versions.
	ReadsArchive bool `msgpack:"reads_archive,omitempty"`
	// MachineTypes are the types that the peer knows as the leader. They are set only if the request
	// has QueriesMachineTypes, and never by earlier versions.
	MachineTypes []MachineType `msgpack:"kinds_of_host,omitempty"`
}
