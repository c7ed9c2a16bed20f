// Package crash finds the parts of prompts on which servers crash. Processes report which servers have crashed and which prompts these
// were answering; a part that crashes one server after the other and is never answered is blamed, and prompts with it are refused. Reports
// of several processes are merged, in any order.
//
// It does not detect crashes and does not send messages; package gate does both.
package crash
