package entry

import (
	_ "embed" // for the OpenAPI document
	"strconv"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/control"
	"wardturn/decide"
)

// Paths of the operator API.
const (
	PathDocs    = "/admin/v1/docs"
	PathChanges = "/admin/v1/changes"
	PathHistory = "/admin/v1/history"
	PathStatus  = "/admin/v1/status"
	PathWindows = "/admin/v1/windows"
	PathOpenAPI = "/admin/v1/openapi.json"
)

// CodeUnknownDoc is the error code for a document that does not exist.
const CodeUnknownDoc = "unknown_document"

//go:embed openapi.json
var openAPI []byte

const (
	publishTimeout  = 10 * time.Second
	defaultPageSize = 100
	maxPageSize     = 1000
)

// registerAdmin registers the handlers of the operator API.
func (e *Entry) registerAdmin(r *router.Router) {
	r.GET(PathDocs, e.withOperator(e.listDocs))
	r.GET(PathDocs+"/{kind}/{name:*}", e.withOperator(e.getDoc))
	r.PUT(PathDocs+"/{kind}/{name:*}", e.withOperator(e.putDoc))
	r.DELETE(PathDocs+"/{kind}/{name:*}", e.withOperator(e.deleteDoc))
	r.POST(PathChanges, e.withOperator(e.postChange))
	r.GET(PathHistory, e.withOperator(e.getHistory))
	r.GET(PathStatus, e.withOperator(e.getStatus))
	r.GET(PathWindows, e.withOperator(e.getWindows))
	r.GET(PathOpenAPI, func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("application/json")
		ctx.SetBody(openAPI)
	})
}

// operator is an authenticated user of the operator API. An operator without a team may
// change all documents.
type operator struct {
	name string
	team wardturn.TeamID
}

type operatorHandler func(ctx *fasthttp.RequestCtx, op operator)

func (e *Entry) withOperator(h operatorHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(HeaderRequestID, string(e.requestID(ctx)))
		op, ok := e.operatorForKey(keyDigest(ctx))
		if !ok {
			writeError(ctx, unauthorized())
			return
		}
		h(ctx, op)
	}
}

func (e *Entry) operatorForKey(digest string) (operator, bool) {
	if digest == "" {
		return operator{}, false
	}
	for _, k := range e.cfg.OperatorKeys {
		if k.Digest == digest {
			return operator{
				name: k.Name,
			}, true
		}
	}
	if team, ok := e.catalog.TeamByKeyDigest(digest); ok {
		return operator{
			name: string(team) + "-operator",
			team: team,
		}, true
	}
	return operator{}, false
}

// HistoryPage is a page of the audit log.
type HistoryPage struct {
	Entries []control.HistoryEntry `json:"entries"`
}

func (e *Entry) getHistory(ctx *fasthttp.RequestCtx, _ operator) {
	args := ctx.QueryArgs()
	after, _ := strconv.ParseInt(string(args.Peek("after")), 10, 64)
	entries := e.replica.History(control.Key(args.Peek("key")), wardturn.Offset(after), pageSize(ctx))
	if entries == nil {
		entries = []control.HistoryEntry{}
	}
	writeJSON(ctx, fasthttp.StatusOK, HistoryPage{
		Entries: entries,
	})
}

// StatusView is the state of the system as an entry sees it.
type StatusView struct {
	Process      wardturn.Incarnation `json:"process"`
	Ready        bool                 `json:"ready"`
	Config       wardturn.Offset      `json:"config"`
	LogRead      time.Time            `json:"log_read"` // last successful read of the log
	OpenRequests int64                `json:"open_requests"`
	Connections  int                  `json:"connections"`
	Upstreams    []UpstreamView       `json:"upstreams"`
}

// UpstreamView is the state of an upstream as an entry sees it. The hint, which the
// upstream's agent sends about its load, may be out of date.
type UpstreamView struct {
	wardturn.Host
	Hint        decide.Hint `json:"hint"`
	HintAge     float64     `json:"hint_age_seconds"` // negative if there is no hint
	BreakerOpen bool        `json:"breaker_open"`
}

func (e *Entry) getStatus(ctx *fasthttp.RequestCtx, _ operator) {
	st := StatusView{
		Process:      e.cfg.Process,
		Ready:        e.Ready(),
		Config:       e.replica.AppliedOffset(),
		LogRead:      e.replica.LastReadTime(),
		OpenRequests: e.openRequests.Load(),
	}
	e.mu.Lock()
	st.Connections = len(e.links)
	e.mu.Unlock()
	now := e.clock.Now()
	e.routerMu.Lock()
	views := e.router.Targets(now)
	e.routerMu.Unlock()
	for _, v := range views {
		st.Upstreams = append(st.Upstreams, UpstreamView{
			Host:        v.Host,
			Hint:        v.Hint,
			HintAge:     v.HintAge.Seconds(),
			BreakerOpen: v.Ejected,
		})
	}
	writeJSON(ctx, fasthttp.StatusOK, st)
}
