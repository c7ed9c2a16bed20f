// Package server is an agent's client of its backend server: a model engine or a plain service.
//
// Engine and PlainService are the seams; an engine with another protocol needs another implementation. The ones here speak the
// OpenAI-compatible interface with the engine's extensions for priority and cache salt, and plain HTTP.
package server
