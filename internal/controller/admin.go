package controller

import (
	"encoding/json"
	"net/http"

	"oakpick/internal/message"
	"oakpick/internal/storage"
)

// adminError is the JSON body of an administration request that failed.
type adminError struct {
	Error string `json:"error"`
}

// handleAdminRequest answers an operator's request or forwards it to the leader. The node's own
// status is available without a leader.
func (c *Controller) handleAdminRequest(request message.AdminRequest) {
	leader := c.elector.OtherLeader()
	switch {
	case request.Kind == message.AdminStatus:
		c.replyJSON(request.ID, http.StatusOK, c.status())
	case c.leader != nil && c.elector.HoldsLease():
		c.leader.handleAdminRequest(request)
	case c.leader == nil && leader != "":
		c.context.Emit(message.Forward{ID: request.ID, Peer: leader})
	default:
		c.context.Emit(message.Reply{ID: request.ID, Status: http.StatusServiceUnavailable, Body: encodeJSON(adminError{reasonNoLeader}), RetryAfterS: 1})
	}
}

func (c *Controller) replyJSON(id uint64, status int, body any) {
	c.context.Emit(message.Reply{ID: id, Status: status, Body: encodeJSON(body)})
}

// encodeJSON returns the indented JSON encoding of v.
func encodeJSON(v any) []byte {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		panic(err) // values passed to encodeJSON are always encodable
	}
	return append(b, '\n')
}

func (l *leader) handleAdminRequest(request message.AdminRequest) {
	c := l.controller
	switch request.Kind {
	case message.AdminReadOptions:
		c.replyJSON(request.ID, http.StatusOK, l.options.Options)
	case message.AdminJob:
		l.replyJobStatus(request)
	default:
		l.changeOptions(request)
	}
}

// changeOptions validates and applies options sent by an operator. The operator is answered once
// the change is durable.
func (l *leader) changeOptions(request message.AdminRequest) {
	c := l.controller
	options, err := l.options.With(request.Body)
	if err != nil {
		c.replyJSON(request.ID, http.StatusBadRequest, adminError{err.Error()})
		return
	}
	text, err := json.Marshal(options)
	if err != nil {
		c.replyJSON(request.ID, http.StatusBadRequest, adminError{err.Error()})
		return
	}
	if l.options.record == nil {
		l.options.record = &optionsRecord{}
	}
	l.options.record.text = string(text)
	l.applyOptions(options)
	c.context.Log(message.Info, "settings changed", "settings", string(text))
	l.store.MarkDirty(c.context.Monotonic(), l.options.record, storage.OnCommit(func() {
		c.replyJSON(request.ID, http.StatusOK, options)
	}))
}
