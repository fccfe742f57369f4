package standin

import (
	"bufio"
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"
)

// responseFormatter formats a response as in the OpenAI API.
type responseFormatter struct {
	model string
	id    string
	chat  bool
}

// choice is a choice of a completion or of a chunk of a streamed one.
type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func tokenText(i int) string {
	return " w" + strconv.Itoa(i)
}

// writeStream writes the events as server-sent events. It returns false if a write failed.
func (a responseFormatter) writeStream(w *bufio.Writer, events <-chan streamEvent) bool {
	for ev := range events {
		if ev.err != nil {
			return true // the stream ends without the end marker
		}
		if ev.end {
			_, _ = w.WriteString("data: [DONE]\n\n")
			return w.Flush() == nil
		}
		data, _ := json.Marshal(a.chunk(tokenText(ev.token)))
		_, _ = w.WriteString("data: ")
		_, _ = w.Write(data)
		_, _ = w.WriteString("\n\n")
		if w.Flush() != nil {
			return false
		}
	}
	return true
}

// chunk returns a chunk of a streamed completion.
func (a responseFormatter) chunk(text string) completion {
	c := choice{
		Text: text,
	}
	object := "text_completion"
	if a.chat {
		object = "chat.completion.chunk"
		c.Text = ""
		c.Delta = &message{
			Content: text,
		}
	}
	return completion{
		ID:      a.id,
		Object:  object,
		Model:   a.model,
		Choices: []choice{c},
	}
}

// writeComplete writes the complete response after the last event.
func (a responseFormatter) writeComplete(ctx *fasthttp.RequestCtx, events <-chan streamEvent) {
	text := ""
	n := 0
	for ev := range events {
		if ev.err != nil {
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			return
		}
		if ev.end {
			break
		}
		text += tokenText(ev.token)
		n++
	}
	finish := "stop"
	c := choice{
		Text:         text,
		FinishReason: &finish,
	}
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
		c.Text = ""
		c.Message = &message{
			Role:    "assistant",
			Content: text,
		}
	}
	writeJSON(ctx, fasthttp.StatusOK, completion{
		ID:      a.id,
		Object:  object,
		Model:   a.model,
		Choices: []choice{c},
		Usage: &usage{
			CompletionTokens: n,
		},
	})
}
