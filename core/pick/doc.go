// Package pick chooses the backend server of a routed call: by what each server is expected to hold in its cache, its work,
// its availability zone, the version of its weights and how it fared. It keeps what one entry process has seen; servers
// themselves are the matter of package fleet.
package pick
