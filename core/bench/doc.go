// Package bench measures placement in virtual time: a seeded load, a small model of the engines, and the real chooser
// beside baselines on the same load.
//
// An engine computes one prompt at a time and then generates tokens beside others; it holds the pieces of prompts in a
// cache of limited size and reports its load with each reply. Networks are delays only. Nothing here is a test of
// protocols; it exists to compare policies.
package bench
