package entry

import (
	_ "embed" // for the OpenAPI document
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.yaml.in/yaml/v3"

	"wardturn"
	"wardturn/control"
)

// DocView is the API's representation of a document.
type DocView struct {
	Key     control.Key     `json:"key"`
	Version wardturn.Offset `json:"version"`
	Who     string          `json:"who"`
	At      time.Time       `json:"at"`
	Body    string          `json:"body"`
}

// DocPage is a page of documents. Next is the key after which the next page starts; it is
// empty on the last page.
type DocPage struct {
	Docs   []DocView       `json:"docs"`
	Next   control.Key     `json:"next,omitempty"`
	Config wardturn.Offset `json:"config"`
}

func newDocView(d control.Doc) DocView {
	return DocView{
		Key:     d.Key,
		Version: d.Version,
		Who:     d.Author,
		At:      d.Time,
		Body:    string(d.Body),
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	_ = json.NewEncoder(ctx).Encode(v)
}

func pageSize(ctx *fasthttp.RequestCtx) int {
	n := ctx.QueryArgs().GetUintOrZero("limit")
	if n == 0 {
		n = defaultPageSize
	}
	return min(n, maxPageSize)
}

func (e *Entry) listDocs(ctx *fasthttp.RequestCtx, _ operator) {
	after := control.Key(ctx.QueryArgs().Peek("after"))
	limit := pageSize(ctx)
	page := DocPage{
		Docs:   []DocView{},
		Config: e.replica.AppliedOffset(),
	}
	for _, d := range e.replica.Docs(string(ctx.QueryArgs().Peek("kind"))) {
		if d.Key <= after {
			continue
		}
		if len(page.Docs) == limit {
			page.Next = page.Docs[limit-1].Key
			break
		}
		page.Docs = append(page.Docs, newDocView(d))
	}
	writeJSON(ctx, fasthttp.StatusOK, page)
}

func docKey(ctx *fasthttp.RequestCtx) control.Key {
	return control.KeyOf(ctx.UserValue("kind").(string), ctx.UserValue("name").(string))
}

func etag(v wardturn.Offset) string {
	return `"` + strconv.FormatInt(int64(v), 10) + `"`
}

func (e *Entry) getDoc(ctx *fasthttp.RequestCtx, _ operator) {
	d, ok := e.replica.Get(docKey(ctx))
	if !ok {
		writeError(ctx, docNotFound(docKey(ctx)))
		return
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, etag(d.Version))
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == etag(d.Version) {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, newDocView(d))
}

func docNotFound(key control.Key) errorResponse {
	return errorResponse{
		status:  fasthttp.StatusNotFound,
		code:    CodeUnknownDoc,
		message: "no document " + string(key),
	}
}

// precondition returns the version that a change replaces. A change without a
// precondition is refused, because it could overwrite another operator's change.
func precondition(ctx *fasthttp.RequestCtx) (wardturn.Offset, errorResponse) {
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == "*" {
		return 0, errorResponse{}
	}
	text := strings.Trim(string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch)), `"`)
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, errorResponse{
			status:  fasthttp.StatusPreconditionRequired,
			code:    "precondition_required",
			message: "If-Match with the version that is replaced, or If-None-Match: * for a new document",
		}
	}
	return wardturn.Offset(n), errorResponse{}
}

func (e *Entry) putDoc(ctx *fasthttp.RequestCtx, op operator) {
	e.changeDoc(ctx, op, control.DocChange{
		Body: slices.Clone(requestBody(ctx)),
	})
}

func (e *Entry) deleteDoc(ctx *fasthttp.RequestCtx, op operator) {
	e.changeDoc(ctx, op, control.DocChange{
		Delete: true,
	})
}

// changeDoc publishes a change to the document in the request's path.
func (e *Entry) changeDoc(ctx *fasthttp.RequestCtx, op operator, d control.DocChange) {
	base, errResp := precondition(ctx)
	if errResp.code != "" {
		writeError(ctx, errResp)
		return
	}
	d.Key = docKey(ctx)
	d.BaseVersion = base
	e.publish(ctx, op, control.Change{
		Docs: []control.DocChange{d},
	})
}

// ChangeRequest is the body of POST /admin/v1/changes. Either all of its documents are
// accepted or none. Requests with the same ID are idempotent.
type ChangeRequest struct {
	ID   control.PublicationID `json:"id"`
	Docs []DocRequest          `json:"docs"`
}

// DocRequest is a document of a ChangeRequest. BaseVersion is the version that it
// replaces; it is zero for a new document.
type DocRequest struct {
	Key         control.Key     `json:"key"`
	BaseVersion wardturn.Offset `json:"base"`
	Delete      bool            `json:"delete,omitempty"`
	Body        string          `json:"body,omitempty"`
}

func (e *Entry) postChange(ctx *fasthttp.RequestCtx, op operator) {
	var req ChangeRequest
	if err := json.Unmarshal(requestBody(ctx), &req); err != nil {
		writeError(ctx, badRequest("", "the body is not a change: "+err.Error()))
		return
	}
	if len(req.Docs) == 0 {
		writeError(ctx, badRequest("docs", "must not be empty"))
		return
	}
	c := control.Change{
		ID: req.ID,
	}
	for _, d := range req.Docs {
		c.Docs = append(c.Docs, control.DocChange{
			Key:         d.Key,
			BaseVersion: d.BaseVersion,
			Delete:      d.Delete,
			Body:        []byte(d.Body),
		})
	}
	e.publish(ctx, op, c)
}

// publish validates a change, appends it to the log and responds with the result.
func (e *Entry) publish(ctx *fasthttp.RequestCtx, op operator, c control.Change) {
	for _, d := range c.Docs {
		if errResp := e.checkDoc(op, d); errResp.code != "" {
			writeError(ctx, errResp)
			return
		}
	}
	if c.ID == "" {
		c.ID = control.PublicationID(assignedRequestID(ctx))
	}
	c.Author = op.name
	c.Time = e.clock.Now()
	publishCtx, cancel := e.tasks.WithTimeout(publishTimeout)
	defer cancel()
	res, err := e.replica.Publish(publishCtx, c)
	switch {
	case errors.Is(err, control.ErrConflict):
		writeError(ctx, errorResponse{
			status:  fasthttp.StatusPreconditionFailed,
			code:    "conflict",
			message: string(res.Conflict) + " is at version " + strconv.FormatInt(int64(res.CurrentVersion), 10) + " by now",
		})
		return
	case err != nil:
		writeError(ctx, errorResponse{
			status:  fasthttp.StatusServiceUnavailable,
			code:    string(wardturn.ReasonLogUnavailable),
			message: "it is not known whether the change was accepted; send it again with id " + string(c.ID),
			outcome: wardturn.Uncertain(wardturn.ReasonLogUnavailable),
		})
		return
	}
	e.logger.Info("published", "who", c.Author, "id", c.ID, "version", res.Version, "documents", len(c.Docs))
	ctx.Response.Header.Set(fasthttp.HeaderETag, etag(res.Version))
	writeJSON(ctx, fasthttp.StatusOK, res)
}

// checkDoc validates a document and checks whether the operator may change it.
func (e *Entry) checkDoc(op operator, d control.DocChange) errorResponse {
	if op.team != "" && !e.ownedBy(op.team, d) {
		return forbidden("team " + string(op.team) + " to change " + string(d.Key))
	}
	if d.Delete {
		return errorResponse{}
	}
	if err := control.ValidateDoc(string(d.Key), d.Key, d.Body); err != nil {
		return errorResponse{
			status:  fasthttp.StatusUnprocessableEntity,
			code:    "invalid_document",
			message: err.Error(),
			param:   string(d.Key),
		}
	}
	return errorResponse{}
}

// ownedBy reports whether a document belongs to the team both before the change, if it
// exists, and after it. Documents of kinds that affect all teams belong to none.
func (e *Entry) ownedBy(team wardturn.TeamID, d control.DocChange) bool {
	switch control.KindOf(d.Key) {
	case control.KindAdapter, control.KindService, control.KindCaller, control.KindObjective:
	default:
		return false
	}
	if old, ok := e.replica.Get(d.Key); ok && docTeam(old.Body) != team {
		return false
	}
	return d.Delete || docTeam(d.Body) == team
}

func docTeam(body []byte) wardturn.TeamID {
	var doc struct {
		Team wardturn.TeamID `yaml:"team"`
	}
	_ = yaml.Unmarshal(body, &doc) // ValidateDoc reports malformed YAML
	return doc.Team
}
