package runs

import "time"

// Run identifies a run of a server by the hash of the server's id and the start of the process.
type Run struct {
	server         uint64
	startUnixMilli int64
}

// NewRun returns a run; startUnixMilli is the start in milliseconds since the Unix epoch, or zero if the server does not state it.
func NewRun(server uint64, startUnixMilli int64) Run {
	return Run{server: server, startUnixMilli: startUnixMilli}
}

// Server returns the hash of the server's id.
func (rn Run) Server() uint64 { return rn.server }

// StartUnixMilli returns the start in milliseconds since the Unix epoch, or zero if it is unknown.
func (rn Run) StartUnixMilli() int64 { return rn.startUnixMilli }

// Moment is a run and a time of this process's clock.
type Moment struct {
	run Run
	at  time.Time
}

// NewMoment returns a moment.
func NewMoment(rn Run, at time.Time) Moment { return Moment{run: rn, at: at} }

// Run returns the run.
func (mo Moment) Run() Run { return mo.run }

// At returns the time.
func (mo Moment) At() time.Time { return mo.at }

// Evidence is what shows that a run is, or was, the current one of its server: Entry, Copy, Tender or Report.
type Evidence interface {
	// String returns the name for logs.
	String() string
	isEvidence()
}

// Entry is an entry that was read from the directory.
type Entry struct{}

// Copy is an entry in the copy of the directory that another gate has, which may be of any age.
type Copy struct{}

// Tender is a report of the tender beside the server.
type Tender struct{}

// Report is the server's own reply to a question.
type Report struct{}

func (Entry) isEvidence()  {}
func (Copy) isEvidence()   {}
func (Tender) isEvidence() {}
func (Report) isEvidence() {}

// String implements Evidence.
func (Entry) String() string { return "entry" }

// String implements Evidence.
func (Copy) String() string { return "copy" }

// String implements Evidence.
func (Tender) String() string { return "tender" }

// String implements Evidence.
func (Report) String() string { return "report" }

// Event is what may have ended a run: Refused, Broken, Silent or Replaced.
type Event interface {
	// String returns the name for logs.
	String() string
	isEvent()
}

// Refused means that the server's address refused a connection, or did not answer.
type Refused struct{}

// Broken means that the server closed or reset a connection within an exchange.
type Broken struct{}

// Silent means that the server did not respond to its tender.
type Silent struct{}

// Replaced means that another server responded at the address.
type Replaced struct{}

func (Refused) isEvent()  {}
func (Broken) isEvent()   {}
func (Silent) isEvent()   {}
func (Replaced) isEvent() {}

// String implements Event.
func (Refused) String() string { return "refused" }

// String implements Event.
func (Broken) String() string { return "broken" }

// String implements Event.
func (Silent) String() string { return "silent" }

// String implements Event.
func (Replaced) String() string { return "replaced" }

// Verdict is what is known of whether a run was running at a moment: Certain, Unproven, InDoubt or Superseded.
type Verdict interface {
	// String returns the name for logs.
	String() string
	isVerdict()
}

// IsCertain reports whether a verdict is Certain.
func IsCertain(vd Verdict) bool {
	_, ok := vd.(Certain)
	return ok
}

// Certain means that the run was running then.
type Certain struct{}

// Unproven means that there is no evidence from that moment or later, and no event either.
type Unproven struct{}

// InDoubt means that there is no evidence since an event that may have ended the run.
type InDoubt struct{}

// Superseded means that the server has started again since the last evidence.
type Superseded struct{}

func (Certain) isVerdict()    {}
func (Unproven) isVerdict()   {}
func (InDoubt) isVerdict()    {}
func (Superseded) isVerdict() {}

// String implements Verdict.
func (Certain) String() string { return "certain" }

// String implements Verdict.
func (Unproven) String() string { return "unproven" }

// String implements Verdict.
func (InDoubt) String() string { return "in_doubt" }

// String implements Verdict.
func (Superseded) String() string { return "superseded" }
