package protocol

// StableStartS is how many seconds a task has to run without interruption for its start to count.
const StableStartS = 30

// MaxWaitWithRoomS is how many seconds a job may wait while a machine that fits has room and its team is
// under its limit.
const MaxWaitWithRoomS = 90

// Verb is the action that a command requests from a worker.
type Verb uint8

// Verbs of commands.
const (
	Start Verb = iota
	Stop
	Forget // delete the record of a task that has exited
)

// verbNames are the wire names of the verbs.
var verbNames = [...]string{Start: "start", Stop: "halt", Forget: "forget"}

// Command is a command to a worker.
type Command struct {
	Verb Verb
	Attempt
	GracePeriodS float64 // for Stop only
}

// wireCommand is the wire format of Command.
type wireCommand struct {
	Verb         string   `msgpack:"verb"`
	Task         string   `msgpack:"piece"`
	Attempt      int64    `msgpack:"try"`
	GracePeriodS *float64 `msgpack:"wind_down_s,omitempty"`
}

func wireCommands(commands []Command) []wireCommand {
	wire := make([]wireCommand, len(commands))
	for i := range commands {
		command := &commands[i]
		wire[i] = wireCommand{Verb: verbNames[command.Verb], Task: command.taskID(), Attempt: command.Number}
		if command.Verb == Stop {
			wire[i].GracePeriodS = &command.GracePeriodS
		}
	}
	return wire
}

// EncodeHeartbeatResponse returns the body of the 200 response to a heartbeat: the leader's
// fencing token and the commands for the worker.
func EncodeHeartbeatResponse(fencingToken int64, commands []Command) []byte {
	return Encode(struct {
		FencingToken int64         `msgpack:"baton"`
		Commands     []wireCommand `msgpack:"orders"`
	}{fencingToken, wireCommands(commands)})
}

// wireRedirect is the wire format of a redirect to the leader's node. Leader is empty if no leader
// is known.
type wireRedirect struct {
	Leader string `msgpack:"foreman,omitempty"`
}

// EncodeRedirect returns the body of a 421 response that redirects a worker to the leader's node.
// The node is empty if no leader is known.
func EncodeRedirect(node string) []byte { return Encode(wireRedirect{Leader: node}) }

// EncodeCommands returns the body of a request that sends commands directly to an incarnation of
// a worker.
func EncodeCommands(fencingToken, incarnation int64, commands []Command) []byte {
	return Encode(struct {
		FencingToken int64         `msgpack:"baton"`
		Incarnation  int64         `msgpack:"shift"`
		Commands     []wireCommand `msgpack:"orders"`
	}{fencingToken, incarnation, wireCommands(commands)})
}
