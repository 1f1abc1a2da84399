package fake

import (
	"time"

	"oakpick/internal/coordination"
	"oakpick/internal/protocol"
)

// StatusOf asks a leader about a job and gives what it calls it; "": no answer, or the
// job is unknown.
func (w *World) StatusOf(id string) string {
	status := ""
	w.Until(5*time.Second, func() bool {
		if l := w.Leader(); l != nil {
			l.Ask(coordination.UserCall{Kind: coordination.Poll, Job: id}, func(r coordination.Reply) {
				var a protocol.JobAnswer
				if r.Status == 200 && protocol.Decode(r.Body, &a) == nil {
					status = a.Status
				}
			})
		}
		return status != ""
	})
	return status
}
