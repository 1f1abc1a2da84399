package protocol

// StepDownRequest is what a new leader tells its peers: terms below Term are over, and it
// is the one that leads. A Term of 0 only probes the peer.
type StepDownRequest struct {
	Term   int64  `msgpack:"term"`
	Leader string `msgpack:"leader"`
	// ReadsArchive asks whether the peer looks ended jobs up in the archive.
	ReadsArchive bool `msgpack:"reads_archive,omitempty"`
}

// StepDownResponse says whether the node has stepped down from every term below.
type StepDownResponse struct {
	SteppedDown    bool  `msgpack:"released"`
	LastLoadedTerm int64 `msgpack:"taken"` // the last term of which this process has read the records; 0: none
	UptimeMs       int64 `msgpack:"up_ms"` // for how long it has been running
	// ReadsArchive answers the question of the same name; earlier versions never do.
	ReadsArchive bool `msgpack:"reads_archive,omitempty"`
}
