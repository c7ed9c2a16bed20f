// Package crash finds the requests, and the parts of prompts, on which servers crash. Processes report which servers have crashed and which
// requests these were answering; a request or part that crashes one server after the other and is never answered is blamed, and requests
// with it are refused. Reports of several processes are merged, in any order.
//
// Suspects are known by keys: each request has that of itself, which is the same when its caller repeats it, and those of the parts of its
// prompt that it shares with other requests.
//
// It does not detect crashes and does not send messages; package gate does both.
package crash
