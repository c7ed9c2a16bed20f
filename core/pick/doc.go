// Package pick chooses the backend server of a routed call. The choice depends on what each server is expected to have
// cached, its load, availability zone, weights version and recent failures. The state is what one gate process has
// observed or was told by its peers and by the tenders; the set of servers itself is kept by package fleet.
package pick
