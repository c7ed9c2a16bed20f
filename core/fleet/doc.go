// Package fleet keeps the backend servers that a directory names. It decides how long an entry that vanished during an
// outage of the directory is still believed; how the servers fare is the matter of package pick.
package fleet
