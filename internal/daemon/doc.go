// Package daemon is a controller's process: an event loop that alone touches the controller's
// state and works through a queue of events in batches, and the goroutines that carry its
// effects out and bring the results back as events.
//
// Requests come in from the goroutines of the servers, which wait for the reply. The optional
// tracker of weights has an event loop and a queue of its own.
package daemon
