package control

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"wardturn"
)

// Key names a document: its kind, a slash and its name.
type Key string

// PublicationID names one publication, so that a lost reply can be settled by
// reading on.
type PublicationID string

// ErrBadRecord is returned for a record that cannot be decoded. Readers skip
// such records: what one reader cannot decode, none can.
var ErrBadRecord = errors.New("control: malformed record")

// Record is what wardturn appends to the platform's log. Exactly one of the
// pointers is set.
type Record struct {
	Change   *Change   `msgpack:"c,omitempty"`
	Snapshot *Snapshot `msgpack:"s,omitempty"`
	Claims   *Claims   `msgpack:"k,omitempty"`
	Start    *Start    `msgpack:"a,omitempty"`
}

// Change is one publication: all of its documents are accepted, or none.
type Change struct {
	ID   PublicationID `msgpack:"i"`
	Who  string        `msgpack:"w"`
	At   time.Time     `msgpack:"t"`
	Docs []DocChange   `msgpack:"d"`
}

// DocChange replaces, creates or deletes one document.
type DocChange struct {
	Key    Key             `msgpack:"k"`
	Base   wardturn.Offset `msgpack:"b"` // version replaced; zero: must not exist
	Delete bool            `msgpack:"x,omitempty"`
	Body   []byte          `msgpack:"y,omitempty"`
}

// Snapshot is one part of all documents in force after the record at Through.
type Snapshot struct {
	Through wardturn.Offset `msgpack:"t"`
	Part    int             `msgpack:"p"`
	Parts   int             `msgpack:"n"`
	Docs    []Doc           `msgpack:"d"`
	Results []Result        `msgpack:"r,omitempty"` // of recent publications
}

// Doc is a document in force.
type Doc struct {
	Key     Key             `msgpack:"k"`
	Version wardturn.Offset `msgpack:"v"`
	Body    []byte          `msgpack:"y"`
	Who     string          `msgpack:"w,omitempty"`
	At      time.Time       `msgpack:"t"`
}

// Claims is a batch of claims by one agent.
type Claims struct {
	Upstream wardturn.UpstreamID  `msgpack:"u"`
	Process  wardturn.Incarnation `msgpack:"p"`
	List     []Claim              `msgpack:"l"`
}

// Claim says that an attempt is about to run a request that may not be
// repeated.
type Claim struct {
	Caller  wardturn.CallerID       `msgpack:"c"`
	Key     wardturn.IdempotencyKey `msgpack:"k"`
	Digest  wardturn.Digest         `msgpack:"d"`
	Created time.Time               `msgpack:"t"`
	Attempt wardturn.AttemptID      `msgpack:"a"`
	// Supersedes is an attempt with the same key whose agent said that it did
	// not run and will not. Its claim is replaced.
	Supersedes wardturn.AttemptID `msgpack:"s,omitempty"`
}

// Start is an agent's first record. Its offset is the agent's fence.
type Start struct {
	Upstream wardturn.UpstreamID  `msgpack:"u"`
	Process  wardturn.Incarnation `msgpack:"p"`
}

// recordVersion is the first byte of every record of this package; records that
// start otherwise belong to others.
const recordVersion = 0xd1

// Encode returns a record's bytes.
func Encode(rec Record) ([]byte, error) {
	body, err := msgpack.Marshal(&rec)
	if err != nil {
		return nil, errors.Wrap(err, "control: encode")
	}
	return append([]byte{recordVersion}, body...), nil
}

// Decode reads a record's bytes.
func Decode(data []byte) (rec Record, err error) {
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
