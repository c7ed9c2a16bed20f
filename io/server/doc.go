// Package server is the agent's client of its backend server, which is a model engine or a plain service.
//
// Engine and PlainService are the interfaces that an engine or service with another protocol implements. HTTPEngine
// speaks the OpenAI-compatible API with the engine's extensions for priority and cache salt; HTTPPlainService speaks
// plain HTTP.
package server
