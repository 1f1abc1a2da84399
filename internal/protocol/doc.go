// Package protocol holds the wire words of every interface, the types of the messages and the
// validation of what arrives. Nothing outside this package spells a wire word; the rest of the
// program uses the field's standard terms.
//
// Bodies are msgpack maps. The table maps each wire word whose meaning it doesn't tell to the
// Go name; the struct tags do the mapping.
//
//	wire word                  Go name                        meaning
//	baton                      FencingToken                   fencing token of the leader's term
//	shift                      Incarnation                    incarnation of a worker process
//	tick                       Sequence                       number of a heartbeat within the incarnation
//	recall_s                   InterruptionInS                interruption notice of a spot machine
//	foreman                    (redirect)                     the leader's node
//	orders                     Commands                       commands to a worker
//	halt                       Stop                           command: stop a task, after a grace period
//	forget                     Forget                         command: drop the record of a finished task
//	wind_down_s                GracePeriodS                   grace period of a stop
//	piece                      Attempt.Job, Attempt.Task      a task, as "job/index"
//	try                        Attempt.Number                 the attempt's number
//	kept                       Checkpointed                   the task has a checkpoint
//	gathering, saving, ended   Waiting, Checkpointing, Exited states of a task
//	mates_gone, alone          ExitPeersGone,                 causes of an exit: another task of the gang
//	                           ExitGangIncomplete             is gone; the gang never was complete
//	no_room, busy, unknown     ExitInsufficientResources,     causes of a refused start
//	                           ExitTaskAlreadyPresent,
//	                           ExitUnknownJob
//	jobclass                   Class                          class of jobs
//	owner                      Team                           team that submitted the job
//	shape                      Kind                           kind of a job: batch (Array), ensemble (Gang), service
//	rank                       Priority                       standard (Normal) and urgent (High)
//	pieces                     Tasks                          tasks of a job or of a machine
//	bundle                     Image                          container image
//	together                   OneZone                        all tasks in one zone
//	expected_s                 EstimatedRunS                  estimated run time of a task
//	savepoint_s, saving_s      CheckpointIntervalS,           how often checkpoints are made,
//	                           CheckpointDurationS            and how long each takes
//	due_s                      DeadlineS                      deadline after the submission
//	prereqs                    Prerequisites                  jobs that have to be done before
//	withdrawn                  StatusCancelled                a cancelled job
//	kinds_of_host, sku         Types, Name                    machine types
//	host_kind                  Type                           machine type of a machine
//	site                       Zone                           availability zone
//	loaners, low_price         Spot, SpotPrice                spot capacity and its price
//	hire                       RequestID                      idempotency key of a provisioning request
//	rentals, rentals/return    PathScaleOut, PathScaleIn      provisioning and releasing machines
//	has_next                   More                           there is another page
//	path, write, drop          Key, Put, Delete               keys of the state service
//	stamp                      Version                        version of a key
//	ledger                     Revision                       revision of the whole store
//	permit, grants, life_ms    Lease, PathLeases, TTLms       leases of the state service
//	let-go, released, taken    PathStepDown, SteppedDown,     a peer steps down from older terms
//	                           LastLoadedTerm
package protocol
