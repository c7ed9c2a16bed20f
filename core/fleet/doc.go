// Package fleet tracks the backend servers that a directory lists. It decides how long a server whose entry disappeared
// during an outage of the directory stays in use. Load and health of the servers are tracked by package pick.
package fleet
