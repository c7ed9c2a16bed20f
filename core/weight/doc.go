// Package weight decides when an engine may load weights, so that never more engines load at once than the weight store
// bears.
//
// The right to load is a slot: one of a few rows in the table, taken by a conditional write together with a fencing
// number that only grows. A slot has no time limit, because a holder that was paused past it would load beside its
// successor. It passes on only if its holder has freed it, or says that it does not use it, or its VM is gone from the
// platform's list. A holder that does not answer keeps its slot; the other slots go on.
package weight
