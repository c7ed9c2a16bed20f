// Package config holds the declarations that operators keep in version control, their validation, and the immutable
// snapshot that is in force in one epoch.
//
// It parses declarations from bytes and does no I/O. Package watch reads the stored declarations and distributes
// epochs.
package config
