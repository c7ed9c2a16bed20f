// Package share measures how much of the work each workspace causes, so that under load the calls of a workspace that
// floods the system are rejected first. It rejects nothing itself.
package share
