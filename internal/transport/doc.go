// Package transport connects a controller to the network: it has the servers for users, workers
// and peers, the clients for the cloud, workers and peers, and the limit on concurrent requests.
//
// All types are safe for concurrent use. The servers pass requests to a RequestHandler, which
// answers each request in the goroutine that serves it.
package transport
