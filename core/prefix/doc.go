// Package prefix splits prompts into pieces and computes a key for each prefix.
//
// Keys form a hash chain whose seed includes the scope, model, adapter and weight version, so that different
// scopes or versions have different keys; package scope decides which workspaces share one. The same seed gives the cache salt that engines receive.
package prefix
