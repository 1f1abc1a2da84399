package protocol

// Words of the commands to workers.
const (
	verbStart  = "start"
	verbStop   = "halt"
	verbForget = "forget"
)

// Verb is what a command tells a worker to do.
type Verb uint8

// The commands.
const (
	Start Verb = iota
	Stop
	Forget
)

// Command is one order to a worker.
type Command struct {
	Verb Verb
	Attempt
	GracePeriodS float64 // of a Stop
}

type wireCommand struct {
	Verb         string   `msgpack:"verb"`
	Task         string   `msgpack:"piece"`
	Attempt      int64    `msgpack:"try"`
	GracePeriodS *float64 `msgpack:"wind_down_s,omitempty"`
}

func wireCommands(cmds []Command) []wireCommand {
	out := make([]wireCommand, len(cmds))
	for i, c := range cmds {
		w := wireCommand{Task: c.taskID(), Attempt: c.Number}
		switch c.Verb {
		case Start:
			w.Verb = verbStart
		case Stop:
			w.Verb = verbStop
			w.GracePeriodS = &cmds[i].GracePeriodS
		case Forget:
			w.Verb = verbForget
		}
		out[i] = w
	}
	return out
}

// EncodeHeartbeatResponse is the 200 to a report.
func EncodeHeartbeatResponse(token int64, cmds []Command) []byte {
	return Encode(struct {
		Baton  int64         `msgpack:"baton"`
		Orders []wireCommand `msgpack:"orders"`
	}{token, wireCommands(cmds)})
}

// EncodeRedirect is the 421 that sends a worker to another node.
func EncodeRedirect(node string) []byte {
	if node == "" {
		return Encode(map[string]string{})
	}
	return Encode(map[string]string{"foreman": node})
}

// EncodeCommands is the body of direct commands to a worker.
func EncodeCommands(token, session int64, cmds []Command) []byte {
	return Encode(struct {
		Baton  int64         `msgpack:"baton"`
		Shift  int64         `msgpack:"shift"`
		Orders []wireCommand `msgpack:"orders"`
	}{token, session, wireCommands(cmds)})
}

// StableStartS is how long a task has to be left alone for its start to count.
const StableStartS = 30
