// Package transport carries messages: the servers for users, workers and peers, the clients of
// the cloud, workers and peers, and the limit on requests in progress.
//
// Every type is safe for use by several goroutines. Servers hand requests to a RequestHandler,
// which answers each in the goroutine that serves it.
package transport
