package gateway

import (
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/feed"
)

// rejectionLogger logs the entries of a feed that can't be used, and passes everything on
// to the next handler.
type rejectionLogger[R any] struct {
	feed.Handler[R]
	feedName string
	log      *events.Logger
}

// Replace implements feed.Handler.
func (l *rejectionLogger[R]) Replace(b feed.Batch[R], afterOutage bool) {
	l.logRejections(b.Rejected)
	l.Handler.Replace(b, afterOutage)
}

// Update implements feed.Handler.
func (l *rejectionLogger[R]) Update(b feed.Batch[R]) {
	l.logRejections(b.Rejected)
	l.Handler.Update(b)
}

// maxLoggedNameBytes bounds the name of an entry in a log line: another writer chose it.
const maxLoggedNameBytes = 100

func (l *rejectionLogger[R]) logRejections(list []feed.Rejection) {
	for _, r := range list {
		l.log.LogRateLimited(events.EntryRejected).Str("feed", l.feedName).
			Str("entry", r.Name[:min(len(r.Name), maxLoggedNameBytes)]).Err(r.Err).Send()
	}
}
