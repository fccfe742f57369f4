package entry

import (
	"strings"
	"testing"

	"github.com/valyala/fastjson"

	"wardturn"
)

func parse(body string) (completion, errorResponse) {
	return parseCompletion(&fastjson.Parser{}, []byte(body), 64)
}

func TestParseCompletion(t *testing.T) {
	c, errResp := parse(`{"model":"a1@3","prompt":"x","max_tokens":5,"stream":true,"temperature":0.5}`)
	if errResp.code != "" {
		t.Fatal(errResp.message)
	}
	if c.ref.String() != "a1@3" || c.output != 5 || !c.stream {
		t.Fatalf("%+v", c)
	}
	got := string(c.rewriteBody(c.ref, wardturn.Batch))
	for _, want := range []string{`"model":"a1@3"`, `"priority":1`, `"temperature":0.5`} {
		if !strings.Contains(got, want) {
			t.Errorf("%s lacks %s", got, want)
		}
	}
}

func TestParseCompletionRejects(t *testing.T) {
	for name, body := range map[string]string{
		"empty":           ``,
		"not JSON":        `{"model":`,
		"not an object":   `[1]`,
		"no model":        `{"prompt":"x"}`,
		"bad model":       `{"model":"a b","prompt":"x"}`,
		"version zero":    `{"model":"a@0","prompt":"x"}`,
		"no prompt":       `{"model":"a"}`,
		"bad max_tokens":  `{"model":"a","prompt":"x","max_tokens":-1}`,
		"huge max_tokens": `{"model":"a","prompt":"x","max_tokens":99999999}`,
		"deep":            strings.Repeat(`[`, 1000),
	} {
		if _, errResp := parse(body); errResp.code != string(wardturn.ReasonBadRequest) || errResp.status != 400 {
			t.Errorf("%s: %+v", name, errResp)
		}
	}
}

func FuzzParseCompletion(f *testing.F) {
	f.Add(`{"model":"a1@3","prompt":"x","max_tokens":5,"stream":true}`)
	f.Add(`{"model":"a","messages":[{"role":"user","content":"x"}],"max_completion_tokens":null}`)
	f.Add(strings.Repeat(`{"a":`, 70))
	f.Add(`{"model":"a\u0040","prompt":""}`)
	f.Fuzz(func(t *testing.T, body string) {
		c, errResp := parse(body)
		if errResp.code != "" {
			return
		}
		out := c.rewriteBody(c.ref, wardturn.Interactive)
		again, errResp := parse(string(out))
		if errResp.code != "" || again.ref != c.ref {
			t.Fatalf("%s was rewritten to %s: %s", body, out, errResp.message)
		}
	})
}
