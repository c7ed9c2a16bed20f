// Package agent implements the process beside a backend server, through which all requests reach that server.
//
// An agent applies the admission control of package admit, tracks the tickets of orders by the rules of package order,
// buffers the frames of streams so that they can be resumed, and reports the state of its server with each reply. It
// makes no decisions about other servers.
package agent
