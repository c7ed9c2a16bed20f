// Package scope decides which calls may share cached parts of prompts. It is the only place that does: placement, the salts that engines
// receive, and the tables of cached parts all take their scopes from here.
//
// A scope follows from one configuration alone, so that processes that have seen different histories agree on it. An isolated workspace has
// a scope of its own. All others share one whose text depends on the set of isolated workspaces. Parts under it were made only by workspaces
// outside that set, whenever and by whichever process, and it is used only while exactly that set is isolated; so no part in it can be one of
// a workspace that is isolated when the part is used. A configuration that isolates another set therefore begins a new scope, and a return to
// an earlier set returns to its scope.
//
// It does not know which configuration is in force; callers ask again for each attempt.
package scope
