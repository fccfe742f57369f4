package policy

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.starlark.net/starlark"

	"wardturn"
)

// Field describes one attribute of the parameter of a policy function.
type Field struct {
	Name        string
	Unit        string
	Description string
}

// SlotFields lists the attributes of slot's parameter.
func SlotFields() []Field {
	return []Field{
		{"adapter", "", "name of the adapter"},
		{"rate", "requests/s", "predicted for the next minute"},
		{"waiting", "requests", "interactive requests that wait for the adapter"},
		{"waiting_seconds", "s", "age of the oldest of them"},
		{"batch_waiting", "requests", "batch requests that wait for the adapter"},
		{"batch_seconds", "s", "age of the oldest of them"},
		{"running", "requests", "running on the adapter"},
		{"idle_seconds", "s", "since the adapter's last request"},
		{"resident", "bool", "whether the adapter holds a slot"},
		{"load_seconds", "s", "recent time of a load"},
		{"batch_running", "requests", "batch requests running on the upstream"},
	}
}

// QueueFields lists the attributes of the parameter of hold and order.
func QueueFields() []Field {
	return []Field{
		{"adapter", "", "name of the adapter"},
		{"batch_class", "bool", "whether the request is batch work"},
		{"waited_seconds", "s", "since the request arrived"},
		{"deadline_seconds", "s", "left until its deadline; 0 without one"},
		{"prompt_tokens", "tokens", "length of the prompt"},
		{"output_tokens", "tokens", "expected length of the answer"},
		{"waiting", "requests", "of its class, waiting for the same adapter"},
		{"resident", "bool", "whether the adapter is ready in a slot"},
		{"running", "sequences", "in the engine's present batch"},
		{"batch_size", "sequences", "that fit one step of the engine"},
		{"batch_running", "requests", "batch requests running on the upstream"},
		{"batch_queued", "requests", "batch requests waiting at the upstream, for any adapter"},
	}
}

// errUnhashable is returned when a program uses an input as the key of a dict.
var errUnhashable = errors.New("policy input is not hashable")

// slotValue is a SlotInput as a frozen Starlark value.
type slotValue wardturn.SlotInput

// String implements starlark.Value.
func (v *slotValue) String() string { return "adapter " + string(v.Adapter) }

// Type implements starlark.Value.
func (v *slotValue) Type() string { return "adapter" }

// Freeze implements starlark.Value; the value is always frozen.
func (v *slotValue) Freeze() {}

// Truth implements starlark.Value.
func (v *slotValue) Truth() starlark.Bool { return true }

// Hash implements starlark.Value.
func (v *slotValue) Hash() (uint32, error) { return 0, errUnhashable }

// AttrNames implements starlark.HasAttrs.
func (v *slotValue) AttrNames() []string { return fieldNames(SlotFields()) }

// Attr implements starlark.HasAttrs.
func (v *slotValue) Attr(name string) (starlark.Value, error) {
	switch name {
	case "adapter":
		return starlark.String(v.Adapter), nil
	case "rate":
		return starlark.Float(v.Rate), nil
	case "waiting":
		return starlark.MakeInt(v.Waiting), nil
	case "waiting_seconds":
		return seconds(v.OldestWaiting), nil
	case "batch_waiting":
		return starlark.MakeInt(v.BatchWaiting), nil
	case "batch_seconds":
		return seconds(v.OldestBatch), nil
	case "running":
		return starlark.MakeInt(v.Running), nil
	case "idle_seconds":
		return seconds(v.Idle), nil
	case "resident":
		return starlark.Bool(v.Resident), nil
	case "load_seconds":
		return seconds(v.LoadTime), nil
	case "batch_running":
		return starlark.MakeInt(v.BatchRunning), nil
	}
	return nil, nil
}

// queueValue is a QueueInput as a frozen Starlark value.
type queueValue wardturn.QueueInput

// String implements starlark.Value.
func (v *queueValue) String() string { return "request for " + string(v.Adapter) }

// Type implements starlark.Value.
func (v *queueValue) Type() string { return "request" }

// Freeze implements starlark.Value; the value is always frozen.
func (v *queueValue) Freeze() {}

// Truth implements starlark.Value.
func (v *queueValue) Truth() starlark.Bool { return true }

// Hash implements starlark.Value.
func (v *queueValue) Hash() (uint32, error) { return 0, errUnhashable }

// AttrNames implements starlark.HasAttrs.
func (v *queueValue) AttrNames() []string { return fieldNames(QueueFields()) }

// Attr implements starlark.HasAttrs.
func (v *queueValue) Attr(name string) (starlark.Value, error) {
	switch name {
	case "adapter":
		return starlark.String(v.Adapter), nil
	case "batch_class":
		return starlark.Bool(v.Class == wardturn.Batch), nil
	case "waited_seconds":
		return seconds(v.Waited), nil
	case "deadline_seconds":
		return seconds(v.TimeLeft), nil
	case "prompt_tokens":
		return starlark.MakeInt(int(v.Prompt)), nil
	case "output_tokens":
		return starlark.MakeInt(int(v.Output)), nil
	case "waiting":
		return starlark.MakeInt(v.Waiting), nil
	case "resident":
		return starlark.Bool(v.Resident), nil
	case "running":
		return starlark.MakeInt(v.Running), nil
	case "batch_size":
		return starlark.MakeInt(v.BatchSize), nil
	case "batch_running":
		return starlark.MakeInt(v.BatchRunning), nil
	case "batch_queued":
		return starlark.MakeInt(v.BatchQueued), nil
	}
	return nil, nil
}

func seconds(d time.Duration) starlark.Float {
	return starlark.Float(d.Seconds())
}

func fieldNames(fields []Field) []string {
	list := make([]string, 0, len(fields))
	for _, f := range fields {
		list = append(list, f.Name)
	}
	return list
}
