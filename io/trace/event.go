package trace

import "shallotcleat/core/stamp"

// Kind is the kind of a timeline event.
type Kind string

// The kinds of timeline events.
const (
	RequestReceived     Kind = "request_received"
	RequestPlaced       Kind = "request_placed"
	RequestAdmitted     Kind = "request_admitted"
	RequestRefused      Kind = "request_refused"
	StreamResumed       Kind = "stream_resumed"
	StreamContinued     Kind = "stream_continued_elsewhere"
	ServerCalled        Kind = "backend_server_called"
	ServerAnswered      Kind = "backend_server_answered"
	ServerFailed        Kind = "backend_server_failed"
	RequestCanceled     Kind = "request_cancelled"
	RequestAnswered     Kind = "request_answered"
	TicketGranted       Kind = "ticket_granted"
	TicketRedeemed      Kind = "ticket_redeemed"
	TicketProbed        Kind = "ticket_probed"
	OrderRowWritten     Kind = "order_row_written"
	OrderRowWriteLost   Kind = "order_row_write_lost"
	OrderRowConflict    Kind = "order_row_conflict"
	OrderSettled        Kind = "order_settled_by_agent"
	RequestMovedToEpoch Kind = "request_moved_to_epoch"
	EpochAdopted        Kind = "epoch_adopted"
	WeightsLoadOrdered  Kind = "weights_load_ordered"
	LeavingBegan        Kind = "leaving_began"
	ProcessStarted      Kind = "process_started"
	ProcessStopped      Kind = "process_stopped"
	UsageRecordsLost    Kind = "usage_records_lost"
)

// Event is one timeline event of a process.
type Event struct {
	Stamp   stamp.Stamp       `json:"stamp"`
	Process string            `json:"process"`
	Request string            `json:"request,omitempty"`
	Kind    Kind              `json:"kind"`
	Fields  map[string]string `json:"fields,omitempty"`
}
