package wardturn

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// ContentID identifies the content of a request, independent of the attempt and of the
// gateway that sends it. It has 32 hexadecimal digits. Or it identifies a part of prompts,
// see PromptPartID.
type ContentID string

// contentBytes is the number of bytes of the digest in a ContentID. At 1.2 billion
// requests a day, a collision is expected once in 10^20 days.
const contentBytes = 16

// Content is the part of a request that determines whether an upstream gets the same work
// from it as from another request. It leaves out what differs between attempts: IDs,
// deadlines and the caller's address, which may be that of a proxy.
type Content struct {
	Method  string
	Host    string
	Target  string // path and query, as received
	Team    TeamID
	Adapter ModelAdapter
	Body    []byte
}

// ID returns a digest of the content. Each part but the body, which comes last, is hashed
// with its length, so that adjacent parts cannot be confused.
func (c Content) ID() ContentID {
	h := sha256.New()
	for _, part := range []string{c.Method, c.Host, c.Target, string(c.Team), string(c.Adapter.Model), string(c.Adapter.Adapter)} {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(part)))) // a hash's Write never fails
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(c.Body)
	return ContentID(hex.EncodeToString(h.Sum(nil)[:contentBytes]))
}

const (
	// promptPartPrefix distinguishes the IDs of parts of prompts from those of contents.
	promptPartPrefix = "part-"
	// promptPartBytes is the number of bytes of the digest in the ID of a part.
	promptPartBytes = 8
)

// PromptPartID returns the ID of a part of prompts, from the service and the caller's name
// for the part. Adapters are left out: a part may come under several.
func PromptPartID(service ServiceName, part string) ContentID {
	var buf [128]byte // enough for most, so that a prompt of hundreds of parts costs no allocation each
	data := binary.AppendUvarint(buf[:0], uint64(len(service)))
	data = append(data, service...)
	data = append(data, part...)
	digest := sha256.Sum256(data)
	id := make([]byte, 0, len(promptPartPrefix)+2*promptPartBytes)
	id = append(id, promptPartPrefix...)
	return ContentID(hex.AppendEncode(id, digest[:promptPartBytes]))
}

// IsPromptPart reports whether the ID is one of PromptPartID.
func (id ContentID) IsPromptPart() bool {
	return strings.HasPrefix(string(id), promptPartPrefix)
}
