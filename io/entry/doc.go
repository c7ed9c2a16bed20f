// Package entry implements the process that serves callers: it authenticates the workspace, chooses the backend server, relays
// the response and runs orders through package order.
//
// An entry holds no durable state: that is in the table, and each server's state is held by its agent.
package entry
