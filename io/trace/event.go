package trace

import "shallotcleat/core/stamp"

// Kind names what happened.
type Kind string

// The kinds of timeline events.
const (
	Received      Kind = "request_received"
	Placed        Kind = "request_placed"
	Admitted      Kind = "request_admitted"
	Refused       Kind = "request_refused"
	Resumed       Kind = "stream_resumed"
	Continued     Kind = "stream_continued_elsewhere"
	ServerBegan   Kind = "backend_server_called"
	ServerEnded   Kind = "backend_server_answered"
	ServerFailed  Kind = "backend_server_failed"
	Cancelled     Kind = "request_cancelled"
	Answered      Kind = "request_answered"
	TicketGranted Kind = "ticket_granted"
	TicketUsed    Kind = "ticket_redeemed"
	TicketProbed  Kind = "ticket_probed"
	RowWritten    Kind = "order_row_written"
	RowLost       Kind = "order_row_write_lost"
	RowConflict   Kind = "order_row_conflict"
	Settled       Kind = "order_settled_by_agent"
	Rebound       Kind = "request_moved_to_epoch"
	EpochAdopted  Kind = "epoch_adopted"
	LoadOrdered   Kind = "weights_load_ordered"
	LeavingBegan  Kind = "leaving_began"
	Started       Kind = "process_started"
	Stopped       Kind = "process_stopped"
	UsageLost     Kind = "usage_records_lost"
)

// Event is one thing that happened in a process.
type Event struct {
	Stamp   stamp.Stamp       `json:"stamp"`
	Process string            `json:"process"`
	Request string            `json:"request,omitempty"`
	Kind    Kind              `json:"kind"`
	Fields  map[string]string `json:"fields,omitempty"`
}
