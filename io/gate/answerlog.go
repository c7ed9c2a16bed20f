package gate

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/core/fleet"
	"shallotcleat/core/whole"
	"shallotcleat/io/client"
	"shallotcleat/io/link"
)

// answerLog is what the log says about the answer of one attempt, so that a log entry shows why the answer was taken for complete or not.
type answerLog struct {
	server  *fleet.Server
	framing whole.Framing
	// ending is nil until the answer has ended. writeFailed is set if an error of writing the request showed it.
	ending      whole.Ending
	writeFailed bool
	// events is the number of events that reached the caller. firstID and lastID are the ids of the first and the last one; they are valid if
	// hasID is set.
	events          int
	firstID, lastID int64
	hasID           bool
	// life is what the server showed when it was asked whether it still runs, and nil if it was not asked; lifeTime is how long that took.
	life     whole.Life
	lifeTime time.Duration
	// run is what was known of the server's run when a resumable stream began or was continued there, or nil.
	run *runLog
}

// recordEnd records that reading the answer ended with err, which is nil or io.EOF at the end of its body, and returns how it ended. An error with
// which nothing was sent is the end of no answer.
func (al *answerLog) recordEnd(err error) whole.Ending {
	var de *link.DialError
	var nse *client.NotSentError
	if errors.As(err, &de) || errors.As(err, &nse) {
		return nil
	}
	var we *client.WriteError
	al.ending, al.writeFailed = client.EndingOf(err), errors.As(err, &we)
	return al.ending
}

// recordLife records whether the server still ran after the answer, and how long it took to find out.
func (al *answerLog) recordLife(life whole.Life, took time.Duration) {
	al.life, al.lifeTime = life, took
}

// recordEvent records that an event reached the caller; id is valid if hasID is set.
func (al *answerLog) recordEvent(id int64, hasID bool) {
	al.events++
	switch {
	case !hasID:
		return
	case !al.hasID:
		al.firstID, al.hasID = id, true
	}
	al.lastID = id
}

// addFields adds the fields of the log entry of an attempt.
func (al *answerLog) addFields(fields logrus.Fields) {
	if al.server == nil {
		return
	}
	fields["server_start_ms"] = al.server.StartUnixMilli()
	if al.framing != whole.NoFraming {
		fields["framing"] = string(al.framing)
	}
	if al.ending != nil {
		fields["ended_by"] = al.ending.String()
	}
	if al.writeFailed {
		fields["noticed_by"] = "write"
	}
	if al.life != nil {
		fields["server_after"], fields["asked_ms"] = al.life.String(), al.lifeTime.Milliseconds()
	}
	al.run.addFields(fields)
	if al.events > 0 {
		fields["events"] = al.events
	}
	if al.hasID {
		fields["last_event"] = al.lastID
	}
}

// eventsFrom returns which server sent which events of a stream, as SERVER:FIRST-LAST or, without ids, SERVER:xCOUNT.
func eventsFrom(answers []*answerLog) string {
	var parts []string
	for _, al := range answers {
		switch {
		case al.events == 0:
		case al.hasID:
			parts = append(parts, fmt.Sprintf("%s:%d-%d", al.server.ID(), al.firstID, al.lastID))
		default:
			parts = append(parts, al.server.ID()+":x"+strconv.Itoa(al.events))
		}
	}
	return strings.Join(parts, ",")
}
