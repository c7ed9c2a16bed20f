// Package speed estimates how fast model engines prefill prompts and decode, from successive reports of an engine, and keeps the
// estimates of a fleet. It reads no reports and chooses no engine.
package speed
