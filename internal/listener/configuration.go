package listener

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
)

// OperationRunner changes and reads templates and customers, and changes the set of
// control hosts. executor.Host implements it.
type OperationRunner interface {
	Change(ctx context.Context, c registrar.Change) (reducer.ReplyOperator, error)
	ChangeMembers(ctx context.Context, o reducer.Operation) (reducer.ReplyOperator, error)
	ReadObjects(ctx context.Context, read reducer.ObjectsRead) (reducer.ReplyOperator, error)
}

// configurationHandler serves the part of the operators' interface for templates,
// customers and control hosts.
type configurationHandler struct {
	host   identifier.HostID
	runner OperationRunner
}

// controlStatus is the status of the replicated log as the host sees it. Replies to
// operators include it.
type controlStatus struct {
	Host    identifier.HostID `json:"host"`
	Member  bool              `json:"control-host"`
	Leader  identifier.HostID `json:"leader"`
	InTouch bool              `json:"in-touch"`
	// StorageFailed is set on a control host whose storage has failed.
	StorageFailed bool `json:"storage-failed"`
}

func newControlStatus(host identifier.HostID, s reducer.ControlStatus) controlStatus {
	return controlStatus{Host: host, Member: s.Member, Leader: s.Leader, InTouch: s.InTouch, StorageFailed: s.StorageFailed}
}

// register adds the routes for templates, customers and control hosts.
func (c *configurationHandler) register(mux *http.ServeMux) {
	for _, k := range []struct {
		path string
		kind registrar.Kind
	}{
		{"/v1/templates", registrar.TemplateKind},
		{"/v1/customers", registrar.CustomerKind},
	} {
		mux.HandleFunc("GET "+k.path, c.readObjects(k.kind, false))
		mux.HandleFunc("GET "+k.path+"/{id}", c.readObjects(k.kind, false))
		mux.HandleFunc("GET "+k.path+"/{id}/history", c.readObjects(k.kind, true))
		mux.HandleFunc("DELETE "+k.path+"/{id}", c.deleteObject(k.kind))
	}
	mux.HandleFunc("PUT /v1/templates/{id}", c.putTemplate)
	mux.HandleFunc("PUT /v1/customers/{id}", c.putCustomer)
	c.registerMembers(mux)
}

func (c *configurationHandler) putTemplate(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Change   identifier.ChangeID `json:"change-id"`
		Replaces *identifier.Version `json:"replaces"`
		Template configurer.Template `json:"template"`
	}
	if failure := readJSON(w, r, &body); failure != nil {
		writeFailure(w, "", *failure)
		return
	}
	c.applyChange(w, r, body.Change, body.Replaces, registrar.TemplatePut{Template: body.Template})
}

func (c *configurationHandler) putCustomer(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Change   identifier.ChangeID `json:"change-id"`
		Replaces *identifier.Version `json:"replaces"`
		Customer configurer.Customer `json:"customer"`
	}
	if failure := readJSON(w, r, &body); failure != nil {
		writeFailure(w, "", *failure)
		return
	}
	c.applyChange(w, r, body.Change, body.Replaces, registrar.CustomerPut{Customer: body.Customer})
}

func (c *configurationHandler) deleteObject(k registrar.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Change   identifier.ChangeID `json:"change-id"`
			Replaces *identifier.Version `json:"replaces"`
		}
		if failure := readJSON(w, r, &body); failure != nil {
			writeFailure(w, "", *failure)
			return
		}
		var edit registrar.Edit = registrar.TemplateDeleted{Template: identifier.TemplateID(r.PathValue("id"))}
		if k == registrar.CustomerKind {
			edit = registrar.CustomerDeleted{Customer: identifier.CustomerID(r.PathValue("id"))}
		}
		c.applyChange(w, r, body.Change, body.Replaces, edit)
	}
}

// applyChange validates the request, applies the change and writes the result.
func (c *configurationHandler) applyChange(w http.ResponseWriter, r *http.Request, id identifier.ChangeID, replaces *identifier.Version, e registrar.Edit) {
	if id == "" || replaces == nil {
		writeFailure(w, "", *malformedRequest("change-id and replaces must be set; replaces is 0 for a new object"))
		return
	}
	if string(e.Target().ID) != r.PathValue("id") {
		writeFailure(w, "", *malformedRequest("the body is about %s, the path about %q", e.Target(), r.PathValue("id")))
		return
	}
	reply, err := c.runner.Change(r.Context(), registrar.Change{
		ID: id, Fingerprint: changeFingerprint(*replaces, e), Replaces: *replaces, Edit: e,
	})
	if err != nil {
		writeFailure(w, "", reducer.Failed{Kind: abandonedKind, Ran: reducer.RanMaybe, Message: err.Error()})
		return
	}
	c.writeChangeResult(w, reply)
}

// changeFingerprint hashes the content of a change, to detect a change ID that is reused
// for another change.
func changeFingerprint(replaces identifier.Version, e registrar.Edit) identifier.Fingerprint {
	// Marshal can't fail: edits contain only values that JSON can represent.
	data, _ := json.Marshal(e)
	return identifier.Fingerprint(xxhash.Sum64String(fmt.Sprintf("%T %d %s", e, replaces, data)))
}

func (c *configurationHandler) writeChangeResult(w http.ResponseWriter, reply reducer.ReplyOperator) {
	status := newControlStatus(c.host, reply.Control)
	decided, ok := reply.Reply.(reducer.ChangeDecided)
	if !ok {
		writeJSON(w, http.StatusGatewayTimeout, struct {
			Result  string        `json:"result"`
			Message string        `json:"message"`
			Control controlStatus `json:"control"`
		}{"unknown", "no leader answered in time; the change may have been accepted: send it again with the same change-id", status})
		return
	}
	switch result := decided.Result.(type) {
	case registrar.Accepted:
		writeJSON(w, http.StatusOK, struct {
			Result  string             `json:"result"`
			Object  string             `json:"object"`
			Version identifier.Version `json:"version"`
			Control controlStatus      `json:"control"`
		}{"accepted", result.Target.String(), result.Version, status})
	case registrar.Conflict:
		writeJSON(w, http.StatusConflict, struct {
			Result  string        `json:"result"`
			Object  string        `json:"object"`
			Current revision      `json:"current"`
			Control controlStatus `json:"control"`
		}{"conflict", result.Target.String(), revisionOf(result.Current), status})
	case registrar.Invalid:
		writeJSON(w, http.StatusUnprocessableEntity, struct {
			Result  string        `json:"result"`
			Object  string        `json:"object"`
			Field   string        `json:"field"`
			Reason  string        `json:"reason"`
			Control controlStatus `json:"control"`
		}{"invalid", result.Object, result.Field, result.Reason, status})
	case registrar.Reused:
		writeJSON(w, http.StatusUnprocessableEntity, struct {
			Result  string              `json:"result"`
			Change  identifier.ChangeID `json:"change-id"`
			Reason  string              `json:"reason"`
			Control controlStatus       `json:"control"`
		}{"change-id-reused", result.Change, "another change has the same change-id", status})
	}
}

// revision is one revision of an object in a reply.
type revision struct {
	Version  identifier.Version   `json:"version"`
	Change   identifier.ChangeID  `json:"change-id,omitempty"`
	At       time.Time            `json:"at"`
	Deleted  bool                 `json:"deleted"`
	Template *configurer.Template `json:"template,omitempty"`
	Customer *configurer.Customer `json:"customer,omitempty"`
}

func revisionOf(r registrar.Revision) revision {
	v := revision{Version: r.Version, Change: r.Change, At: time.UnixMicro(int64(r.At)).UTC()}
	switch e := r.Edit.(type) {
	case registrar.TemplatePut:
		v.Template = &e.Template
	case registrar.CustomerPut:
		v.Customer = &e.Customer
	case registrar.TemplateDeleted, registrar.CustomerDeleted:
		v.Deleted = true
	}
	return v
}

// readObjects returns the handler that reads one object, the history of one object, or
// all objects of a kind.
func (c *configurationHandler) readObjects(k registrar.Kind, history bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := registrar.Name{Kind: k, ID: registrar.ObjectID(r.PathValue("id"))}
		reply, err := c.runner.ReadObjects(r.Context(), reducer.ObjectsRead{Name: name, History: history})
		if err != nil {
			writeFailure(w, "", reducer.Failed{Kind: abandonedKind, Ran: reducer.RanNo, Message: err.Error()})
			return
		}
		c.writeObjects(w, name, reply)
	}
}

func (c *configurationHandler) writeObjects(w http.ResponseWriter, n registrar.Name, reply reducer.ReplyOperator) {
	found, stale := reducer.ObjectsFound{}, false
	switch a := reply.Reply.(type) {
	case reducer.ObjectsFound:
		found = a
	case reducer.StaleObjects:
		found, stale = a.Found, true
	}
	status := http.StatusOK
	if n.ID != "" && len(found.Revisions) == 0 {
		status = http.StatusNotFound
	}
	revisions := make([]revision, 0, len(found.Revisions))
	for _, r := range found.Revisions {
		revisions = append(revisions, revisionOf(r))
	}
	writeJSON(w, status, struct {
		Version   identifier.Version `json:"configuration-version"`
		Stale     bool               `json:"stale"`
		Revisions []revision         `json:"revisions"`
		Control   controlStatus      `json:"control"`
	}{found.Version, stale, revisions, newControlStatus(c.host, reply.Control)})
}
