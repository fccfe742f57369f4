package policy

import (
	"time"

	"wardturn"
)

// SampleResult is the result of one function for one sample input.
type SampleResult struct {
	Function string
	Input    string
	Value    float64
}

// slotSample is a sample input of slot.
type slotSample struct {
	name string
	in   wardturn.SlotInput
}

// queueSample is a sample input of hold and order.
type queueSample struct {
	name string
	in   wardturn.QueueInput
}

func slotSamples() []slotSample {
	load := 400 * time.Millisecond
	return []slotSample{
		{"never asked for", wardturn.SlotInput{
			Adapter:  "a",
			LoadTime: load,
		}},
		{"resident, popular, idle", wardturn.SlotInput{
			Adapter:  "a",
			Rate:     2,
			Idle:     time.Second,
			Resident: true,
			LoadTime: load,
		}},
		{"absent, one waits 3 s", wardturn.SlotInput{
			Adapter:       "a",
			Rate:          0.01,
			Waiting:       1,
			OldestWaiting: 3 * time.Second,
			LoadTime:      load,
		}},
		{"absent, 40 batch requests wait 10 min", wardturn.SlotInput{
			Adapter:      "a",
			Rate:         0.1,
			BatchWaiting: 40,
			OldestBatch:  10 * time.Minute,
			LoadTime:     load,
		}},
	}
}

func queueSamples() []queueSample {
	return []queueSample{
		{"batch, engine idle, adapter absent", wardturn.QueueInput{
			Adapter:   "a",
			Class:     wardturn.Batch,
			Waited:    time.Second,
			Prompt:    900,
			Output:    200,
			Waiting:   1,
			BatchSize: 16,
		}},
		{"batch, engine busy, adapter ready", wardturn.QueueInput{
			Adapter:   "a",
			Class:     wardturn.Batch,
			Waited:    time.Minute,
			TimeLeft:  time.Hour,
			Prompt:    900,
			Output:    200,
			Waiting:   8,
			Resident:  true,
			Running:   5,
			BatchSize: 16,
		}},
	}
}

// CheckProgram compiles a program and evaluates its functions on sample inputs, which every
// program has to handle without failing. The error is a *ProgramError with the position.
func CheckProgram(file, src string) ([]SampleResult, error) {
	p, err := Compile(file, src)
	if err != nil {
		return nil, err
	}
	var rows []SampleResult
	if p.slot != nil {
		for _, s := range slotSamples() {
			rows = append(rows, SampleResult{
				Function: funcSlot,
				Input:    s.name,
				Value:    p.Slot(s.in),
			})
		}
	}
	for _, s := range queueSamples() {
		if p.hold != nil {
			rows = append(rows, SampleResult{
				Function: funcHold,
				Input:    s.name,
				Value:    p.Hold(s.in).Seconds(),
			})
		}
		if p.order != nil {
			rows = append(rows, SampleResult{
				Function: funcOrder,
				Input:    s.name,
				Value:    p.Order(s.in),
			})
		}
	}
	return rows, p.LastError()
}
