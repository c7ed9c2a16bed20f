// Package prefix splits prompts into pieces and computes a key for each prefix.
//
// Keys form a hash chain whose seed includes the workspace, model, adapter and weight version, so that different
// workspaces or versions have different keys. The same seed gives the cache salt that engines receive.
package prefix
