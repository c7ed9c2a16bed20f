// Package weight decides when an engine may load weights.
//
// A Loader bounds the number of engines that load at the same time to what the weight store can serve. The right to load is a slot:
// one of a few rows in the table, taken by a conditional write together with a fencing number that only grows. A slot has no
// expiry, because a holder that was paused past it would load at the same time as its successor. A slot changes hands only if its
// holder has freed it, or reports that it does not use it, or if the holder's VM is no longer in the platform's VM list. A holder
// that does not reply keeps its slot; the other slots remain usable.
//
// A Scheduler spreads the loads of a service over time, so that enough of its engines keep serving. An Updater brings one engine to
// the target version of its weights.
package weight
