package control

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"wardturn"
)

// Key identifies a document. It has the form kind/name.
type Key string

// PublicationID identifies a publication. A publisher that lost the reply to its
// append finds the publication on the log by its ID.
type PublicationID string

// ErrBadRecord is returned for a record that cannot be decoded. Readers skip such
// records. This keeps their states equal, since no reader can decode them.
var ErrBadRecord = errors.New("control: malformed record")

// Record is a record of the platform's log. Exactly one of the fields is set.
type Record struct {
	Change     *Change     `msgpack:"c,omitempty"`
	Snapshot   *Snapshot   `msgpack:"s,omitempty"`
	ClaimBatch *ClaimBatch `msgpack:"k,omitempty"`
	AgentStart *AgentStart `msgpack:"a,omitempty"`
}

// Change is one publication. Either all of its documents are accepted or none is.
type Change struct {
	ID     PublicationID `msgpack:"i"`
	Author string        `msgpack:"w"`
	Time   time.Time     `msgpack:"t"`
	Docs   []DocChange   `msgpack:"d"`
}

// DocChange replaces, creates or deletes one document.
type DocChange struct {
	Key         Key             `msgpack:"k"`
	BaseVersion wardturn.Offset `msgpack:"b"` // version that is replaced; zero: the document must not exist
	Delete      bool            `msgpack:"x,omitempty"`
	Body        []byte          `msgpack:"y,omitempty"`
}

// Snapshot is one part of a snapshot of all current documents as of the record at
// offset Through.
type Snapshot struct {
	Through wardturn.Offset     `msgpack:"t"`
	Part    int                 `msgpack:"p"`
	Parts   int                 `msgpack:"n"`
	Docs    []Doc               `msgpack:"d"`
	Results []PublicationResult `msgpack:"r,omitempty"` // of recent publications
}

// Doc is the current version of a document.
type Doc struct {
	Key     Key             `msgpack:"k"`
	Version wardturn.Offset `msgpack:"v"`
	Body    []byte          `msgpack:"y"`
	Author  string          `msgpack:"w,omitempty"`
	Time    time.Time       `msgpack:"t"`
}

// ClaimBatch is a batch of claims by one agent.
type ClaimBatch struct {
	Upstream wardturn.UpstreamID  `msgpack:"u"`
	Process  wardturn.Incarnation `msgpack:"p"`
	Claims   []Claim              `msgpack:"l"`
}

// Claim announces that an attempt is about to run a request that may not be repeated.
type Claim struct {
	Caller  wardturn.CallerID       `msgpack:"c"`
	Key     wardturn.IdempotencyKey `msgpack:"k"`
	Digest  wardturn.Digest         `msgpack:"d"`
	Created time.Time               `msgpack:"t"`
	Attempt wardturn.AttemptID      `msgpack:"a"`
	// Supersedes is an earlier attempt with the same key, whose agent reported that
	// it did not run the request and never will. This claim replaces its claim.
	Supersedes wardturn.AttemptID `msgpack:"s,omitempty"`
}

// AgentStart is the first record of an agent process. Its offset is the fencing token of
// the process.
type AgentStart struct {
	Upstream wardturn.UpstreamID  `msgpack:"u"`
	Process  wardturn.Incarnation `msgpack:"p"`
}

// recordVersion is the first byte of every record of this package. Records that start
// with another byte were appended by other users of the log.
const recordVersion = 0xd1

// EncodeRecord encodes a record for the log.
func EncodeRecord(rec Record) ([]byte, error) {
	body, err := msgpack.Marshal(&rec)
	if err != nil {
		return nil, errors.Wrap(err, "control: encode")
	}
	return append([]byte{recordVersion}, body...), nil
}

// DecodeRecord decodes a record of the log.
func DecodeRecord(data []byte) (rec Record, err error) {
	if len(data) == 0 || data[0] != recordVersion {
		return rec, ErrBadRecord
	}
	defer func() {
		if p := recover(); p != nil {
			err = errors.Wrapf(ErrBadRecord, "%v", p)
		}
	}()
	if err := msgpack.Unmarshal(data[1:], &rec); err != nil {
		return rec, errors.Wrapf(ErrBadRecord, "%v", err)
	}
	return rec, nil
}
