// Package wire contains the protobuf messages and DRPC services between the processes, generated from wire.proto and
// node.proto, and conversions of messages from and to the types of the core packages.
//
// The generated files are committed; `make generate` regenerates them.
package wire
