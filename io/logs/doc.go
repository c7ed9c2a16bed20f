// Package logs sets up the JSON log of a process.
package logs
