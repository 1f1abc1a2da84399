package protocol

// StableStartS is for how many seconds a task has to run undisturbed for its start to count.
const StableStartS = 30

// Verb is what a command tells a worker to do.
type Verb uint8

// The commands.
const (
	Start Verb = iota
	Stop
	Forget // drop the record of a task that has exited
)

// verbWords are the wire words, by verb.
var verbWords = [...]string{Start: "start", Stop: "halt", Forget: "forget"}

// Command is one command to a worker.
type Command struct {
	Verb Verb
	Attempt
	GracePeriodS float64 // of a Stop, in seconds
}

// wireCommand is a command as it is sent.
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
		wire[i] = wireCommand{Verb: verbWords[command.Verb], Task: command.taskID(), Attempt: command.Number}
		if command.Verb == Stop {
			wire[i].GracePeriodS = &command.GracePeriodS
		}
	}
	return wire
}

// EncodeHeartbeatResponse is the body of the 200 to a heartbeat: the leader's fencing token and
// the commands that are due.
func EncodeHeartbeatResponse(fencingToken int64, commands []Command) []byte {
	return Encode(struct {
		FencingToken int64         `msgpack:"baton"`
		Commands     []wireCommand `msgpack:"orders"`
	}{fencingToken, wireCommands(commands)})
}

// wireRedirect sends a worker to the leader's node; empty: the leader isn't known.
type wireRedirect struct {
	Leader string `msgpack:"foreman,omitempty"`
}

// EncodeRedirect is the body of the 421 that sends a worker to another node; empty: none.
func EncodeRedirect(node string) []byte { return Encode(wireRedirect{Leader: node}) }

// EncodeCommands is the body of direct commands to a worker's incarnation.
func EncodeCommands(fencingToken, incarnation int64, commands []Command) []byte {
	return Encode(struct {
		FencingToken int64         `msgpack:"baton"`
		Incarnation  int64         `msgpack:"shift"`
		Commands     []wireCommand `msgpack:"orders"`
	}{fencingToken, incarnation, wireCommands(commands)})
}
