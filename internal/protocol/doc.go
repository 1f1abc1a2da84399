// Package protocol defines the messages that controllers exchange with users, workers, the state
// service, the cloud and each other: their wire names, Go types and validation. The rest of the
// program uses the standard terms of the field instead of the wire names. The messages of the
// weight tracker and of the administration API are defined elsewhere.
//
// Message bodies are msgpack maps. The table lists the wire names that don't explain themselves,
// with their Go names; struct tags map one to the other.
//
//	wire name                  Go name                        meaning
//	baton                      FencingToken                   fencing token of the leader's term
//	shift                      Incarnation                    incarnation of a worker process
//	tick                       Sequence                       sequence number of a heartbeat within the incarnation
//	recall_s                   InterruptionInS                interruption notice of a spot machine
//	foreman                    (redirect)                     node of the leader
//	orders                     Commands                       commands to a worker
//	halt                       Stop                           command: stop a task, after a grace period
//	forget                     Forget                         command: delete the record of an exited task
//	wind_down_s                GracePeriodS                   grace period of a stop
//	piece                      Attempt.Job, Attempt.Task      a task, as "job/index"
//	try                        Attempt.Number                 the attempt's number
//	kept                       Checkpointed                   the task has a checkpoint
//	gathering, saving, ended   Waiting, Checkpointing, Exited states of a task
//	mates_gone, alone          ExitPeersGone,                 exit causes: another task of the gang has exited;
//	                           ExitGangIncomplete             the gang was never complete
//	no_room, busy, unknown     ExitInsufficientResources,     exit causes: the worker rejected the start
//	                           ExitTaskAlreadyPresent,
//	                           ExitUnknownJob
//	jobclass                   Class                          job class
//	owner                      Team                           team that submitted the job
//	shape                      Kind                           job kind: batch (Array), ensemble (Gang), service
//	rank                       Priority                       job priority: standard (Normal), urgent (High)
//	pieces                     Tasks                          tasks of a job or on a machine
//	bundle                     Image                          container image
//	together                   OneZone                        all tasks in one zone
//	expected_s                 EstimatedRunS                  estimated run time of a task
//	savepoint_s, saving_s      CheckpointIntervalS,           time between checkpoints of a task,
//	                           CheckpointDurationS            and duration of a checkpoint
//	due_s                      DeadlineS                      deadline, counted from the submission
//	prereqs                    Prerequisites                  jobs that have to be done before this one starts
//	withdrawn                  StatusCancelled                status of a cancelled job
//	kinds_of_host, sku         Types, Name                    machine types
//	host_kind                  Type                           machine type of a machine
//	site                       Zone                           availability zone
//	loaners, low_price         Spot, SpotPrice                spot capacity and its price
//	hire                       RequestID                      idempotency key of a provisioning request
//	rentals, rentals/return    PathMachines, PathScaleIn      paths that list and provision, and release machines
//	has_next                   More                           more pages follow
//	path, write, drop          Key, Put, Delete               key of the state service; key to write, key to delete
//	stamp                      Version                        version of a key
//	ledger                     Revision                       revision of the state service's store
//	permit, grants, life_ms    Lease, PathLeases, TTLms       leases of the state service
//	let-go, released, taken    PathStepDown, SteppedDown,     request to a peer to step down from older terms;
//	                           LastLoadedTerm                 whether it did; last term whose records it loaded
package protocol
