// Package pick chooses the backend server of a routed call. The choice depends on what each server is expected to have
// cached, its load, availability zone, weight version and recent failures. The state is what one gate process has
// observed or received from its peers and from the tenders; package fleet keeps the set of servers.
package pick
