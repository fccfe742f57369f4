package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"wardturn"
)

const (
	bytesPerToken   = 4
	maxOutputTokens = 1 << 20
	maxJSONDepth    = 64
)

// completion holds the parts of a completion request that the entry uses.
type completion struct {
	ref    wardturn.AdapterRef
	stream bool
	prompt wardturn.Tokens
	output wardturn.Tokens
	doc    *fastjson.Value // valid until the parser's next use
}

// parsers lets requests reuse parsers and their memory.
var parsers fastjson.ParserPool

// parseCompletion parses and validates a completion or chat completion request of the
// OpenAI API.
func parseCompletion(parser *fastjson.Parser, body []byte, defaultOutput wardturn.Tokens) (completion, errorResponse) {
	if tooDeep(body) {
		return completion{}, badRequest("", "the body nests too deeply")
	}
	doc, err := parser.ParseBytes(body)
	if err != nil || doc.Type() != fastjson.TypeObject {
		return completion{}, badRequest("", "the body is not a JSON object")
	}
	c := completion{
		stream: doc.GetBool("stream"),
		prompt: wardturn.Tokens(max(1, len(body)/bytesPerToken)),
		output: defaultOutput,
		doc:    doc,
	}
	c.ref, err = wardturn.ParseAdapterRef(string(doc.GetStringBytes("model")))
	if err != nil {
		return completion{}, badRequest("model", "must be adapter or adapter@version")
	}
	for _, field := range []string{"max_tokens", "max_completion_tokens"} {
		v := doc.Get(field)
		if v == nil || v.Type() == fastjson.TypeNull {
			continue
		}
		n, err := v.Int()
		if err != nil || n < 1 || n > maxOutputTokens {
			return completion{}, badRequest(field, "must be a number from 1 to 1048576")
		}
		c.output = wardturn.Tokens(n)
	}
	if !doc.Exists("prompt") && !doc.Exists("messages") {
		return completion{}, badRequest("prompt", "prompt or messages must be set")
	}
	return c, errorResponse{}
}

// tooDeep reports whether a JSON body exceeds the maximum nesting depth. It doesn't parse
// the body, so that the parser never processes a deeply nested one.
func tooDeep(body []byte) bool {
	depth, inString, escaped := 0, false, false
	for _, b := range body {
		switch {
		case escaped:
			escaped = false
		case inString && b == '\\':
			escaped = true
		case b == '"':
			inString = !inString
		case inString:
		case b == '{' || b == '[':
			depth++
			if depth > maxJSONDepth {
				return true
			}
		case b == '}' || b == ']':
			depth--
		}
	}
	return false
}

// rewriteBody returns the body with the resolved adapter version as the model, and with
// the engine's priority for the class.
func (c completion) rewriteBody(ref wardturn.AdapterRef, class wardturn.Class) []byte {
	var arena fastjson.Arena
	c.doc.Set("model", arena.NewString(ref.String()))
	c.doc.Set("priority", arena.NewNumberInt(int(class)))
	return c.doc.MarshalTo(nil)
}

// replaceModel sets another version of the adapter in a body that completion.rewriteBody
// returned.
func replaceModel(body []byte, ref wardturn.AdapterRef, class wardturn.Class) []byte {
	parser := parsers.Get()
	defer parsers.Put(parser)
	doc, err := parser.ParseBytes(body)
	if err != nil {
		panic("entry: rewritten request body is not valid JSON")
	}
	c := completion{
		doc: doc,
	}
	return c.rewriteBody(ref, class)
}

// listModels handles GET /v1/models.
func (e *Entry) listModels(ctx *fasthttp.RequestCtx, caller wardturn.CallerID) {
	var buf bytes.Buffer
	buf.WriteString(`{"object":"list","data":[`)
	first := true
	for _, id := range e.catalog.Adapters() {
		if !e.mayUse(caller, string(id), adapterPatterns) {
			continue
		}
		if !first {
			buf.WriteByte(',')
		}
		first = false
		buf.WriteString(`{"id":`)
		buf.WriteString(strconv.Quote(string(id)))
		buf.WriteString(`,"object":"model","owned_by":"wardturn"}`)
	}
	buf.WriteString("]}\n")
	ctx.SetContentType("application/json")
	ctx.SetBody(buf.Bytes())
}

// requestDigest returns a digest of a service request, which tells different requests with
// the same idempotency key apart.
func requestDigest(req *wardturn.Request) wardturn.Digest {
	h := sha256.New()
	for _, part := range []string{string(req.Service), req.Method, req.Path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(req.Body)
	return wardturn.Digest(hex.EncodeToString(h.Sum(nil)))
}
