package whole

// Content is what the body of an answer consists of. It is one of Opaque, Document and Events.
type Content interface{ isContent() }

// Opaque is a body that does not show where it ends.
type Opaque struct{}

// Document is a body that shows where it ends, such as a JSON value, and was decoded to that point.
type Document struct{}

// Events is a stream of events.
type Events struct{ begun, withinEvent bool }

// NewEvents returns a stream. begun is set if an event was received, in this answer or in one that it continues, and withinEvent if the last
// event is incomplete.
func NewEvents(begun, withinEvent bool) Events { return Events{begun: begun, withinEvent: withinEvent} }

func (Opaque) isContent()   {}
func (Document) isContent() {}
func (Events) isContent()   {}

// Verdict is whether an answer is complete.
type Verdict string

// Verdicts on an answer.
const (
	// Whole means that the answer is complete.
	Whole Verdict = "whole"
	// Broken means that the answer was broken off, or must be treated as if it were.
	Broken Verdict = "broken"
	// Doubtful means that the answer looks complete, but would look the same if the server had ended; Settle decides.
	Doubtful Verdict = "doubtful"
)

// Judge returns the verdict on an answer from how its body is framed, how reading it ended, and what it consists of. The kernel closes the
// connections of a process that ends in good order, whatever the process was writing: without length, chunks or an end of its own, the end of
// an answer proves nothing.
func Judge(framing Framing, ending Ending, content Content) Verdict {
	if _, finished := ending.(Finished); !finished {
		return Broken
	}
	switch ct := content.(type) {
	case Document:
		return Whole
	case Events:
		if ct.withinEvent || framing == Connection && !ct.begun {
			return Broken
		}
	}
	switch framing {
	case Length, Chunks:
		return Whole
	case Connection:
		return Doubtful
	}
	return Broken
}

// Life is what is known about a server at a moment after it closed a connection. It is one of Running, Ended and Unknown.
type Life interface {
	isLife()
	// String returns the name in logs.
	String() string
}

// Running means that the same run of the server has responded since, so that the server itself closed the connection.
type Running struct{}

// Ended means that the run of the server has ended.
type Ended struct{}

// Unknown means that the server did not respond, or not in a way that tells its runs apart.
type Unknown struct{}

func (Running) isLife() {}
func (Ended) isLife()   {}
func (Unknown) isLife() {}

// String implements Life.
func (Running) String() string { return "running" }

// String implements Life.
func (Ended) String() string { return "ended" }

// String implements Life.
func (Unknown) String() string { return "unknown" }

// Settle returns the verdict on a doubtful answer of a server. Whoever receives half of an answer as a whole one cannot tell; a whole one that is
// taken for half of one is asked for again, or reported as lost. So an answer stays in doubt only for as long as the server is asked.
func Settle(life Life) Verdict {
	if _, running := life.(Running); running {
		return Whole
	}
	return Broken
}
