// Package daemon runs a controller process. An event loop owns the controller's state and
// processes a queue of events in batches. Other goroutines perform the resulting effects, such
// as calls to other components, and queue their results as events.
//
// The servers' goroutines submit requests to the event loop and wait for the replies. The
// optional weight tracker, which assigns agents the sources of model weights, has an event loop
// and a queue of its own.
package daemon
