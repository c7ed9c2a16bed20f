// Package prefix cuts prompts into pieces and names each prefix by a key.
//
// Keys form a hash chain whose seed holds the workspace, model, adapter and weights version, so that a key of one
// workspace or version never equals a key of another. The same seed is the cache salt that engines receive.
package prefix
