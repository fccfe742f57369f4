package policy

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"go.starlark.net/resolve"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"wardturn"
)

const (
	// maxCallSteps is the maximum number of Starlark steps of one call of a function.
	maxCallSteps = 10_000
	// maxInitSteps is the maximum number of Starlark steps of a program's top level.
	maxInitSteps = 100_000
	// maxSourceBytes is the maximum size of a program, in bytes.
	maxSourceBytes = 64 << 10
	// maxHold is the maximum result of hold; larger ones are reduced to it.
	maxHold = 24 * time.Hour
)

// ProgramError is the error for a program that was rejected, or for a call that failed.
type ProgramError struct {
	File   string
	Line   int
	Column int
	Reason string
}

// Error implements error.
func (p *ProgramError) Error() string {
	pos := syntax.MakePosition(&p.File, int32(p.Line), int32(p.Column))
	return pos.String() + ": " + p.Reason
}

// Counters counts the calls of a program.
type Counters struct {
	Calls             int
	Failures          int // calls that used the fallback, including overruns
	StepLimitExceeded int // calls that exceeded the step limit
}

// Program is a compiled policy. It is not safe for concurrent use.
type Program struct {
	name     string
	fallback wardturn.Policy
	slot     starlark.Callable
	hold     starlark.Callable
	order    starlark.Callable
	counters Counters
	lastErr  error
	args     [1]starlark.Value
}

// Functions that a program may define.
const (
	funcSlot  = "slot"
	funcHold  = "hold"
	funcOrder = "order"
)

// Compile parses a program and runs its top level. The error is a *ProgramError.
func Compile(name, src string) (*Program, error) {
	if len(src) > maxSourceBytes {
		return nil, newProgramError(name, 1, 1, "program is larger than 64 KiB")
	}
	globals, err := execute(name, src)
	if err != nil {
		return nil, err
	}
	p := &Program{
		name:     name,
		fallback: Default{},
	}
	for _, f := range []struct {
		name string
		dst  *starlark.Callable
	}{
		{funcSlot, &p.slot},
		{funcHold, &p.hold},
		{funcOrder, &p.order},
	} {
		if err := bind(name, globals, f.name, f.dst); err != nil {
			return nil, err
		}
	}
	if p.slot == nil && p.hold == nil && p.order == nil {
		return nil, newProgramError(name, 1, 1, "program defines none of slot, hold and order")
	}
	return p, nil
}

func execute(name, src string) (starlark.StringDict, error) {
	thread := &starlark.Thread{
		Name:  name,
		Print: discardOutput,
	}
	thread.SetMaxExecutionSteps(maxInitSteps)
	opts := &syntax.FileOptions{}
	globals, err := starlark.ExecFileOptions(opts, thread, name, src, starlark.StringDict{})
	if err != nil {
		return nil, programErrorOf(name, err)
	}
	globals.Freeze()
	return globals, nil
}

func bind(file string, globals starlark.StringDict, name string, dst *starlark.Callable) error {
	v, ok := globals[name]
	if !ok {
		return nil
	}
	fn, ok := v.(*starlark.Function)
	if !ok {
		return newProgramError(file, 1, 1, name+" is not a function")
	}
	if fn.NumParams() != 1 || fn.HasVarargs() || fn.HasKwargs() {
		pos := fn.Position()
		return newProgramError(file, int(pos.Line), int(pos.Col), name+" must take exactly one parameter")
	}
	*dst = fn
	return nil
}

func newProgramError(file string, line, column int, reason string) *ProgramError {
	return &ProgramError{
		File:   file,
		Line:   line,
		Column: column,
		Reason: reason,
	}
}

// programErrorOf converts an error of the Starlark library to a ProgramError. It uses the
// position in the error, or line 1, column 1 if the error has none.
func programErrorOf(file string, err error) *ProgramError {
	var syntaxErr syntax.Error
	if errors.As(err, &syntaxErr) {
		return newProgramError(file, int(syntaxErr.Pos.Line), int(syntaxErr.Pos.Col), syntaxErr.Msg)
	}
	var resolveErrs resolve.ErrorList
	if errors.As(err, &resolveErrs) && len(resolveErrs) > 0 {
		first := resolveErrs[0]
		return newProgramError(file, int(first.Pos.Line), int(first.Pos.Col), first.Msg)
	}
	var evalErr *starlark.EvalError
	if errors.As(err, &evalErr) {
		for i := len(evalErr.CallStack) - 1; i >= 0; i-- {
			pos := evalErr.CallStack[i].Pos
			if pos.Line > 0 {
				return newProgramError(file, int(pos.Line), int(pos.Col), evalErr.Msg)
			}
		}
		return newProgramError(file, 1, 1, evalErr.Msg)
	}
	return newProgramError(file, 1, 1, err.Error())
}

// Name implements wardturn.Policy.
func (p *Program) Name() string {
	return p.name
}

// Slot implements wardturn.Policy.
func (p *Program) Slot(in wardturn.SlotInput) float64 {
	if p.slot == nil {
		return p.fallback.Slot(in)
	}
	v, ok := p.call(p.slot, (*slotValue)(&in))
	if !ok {
		return p.fallback.Slot(in)
	}
	return v
}

// Hold implements wardturn.Policy.
func (p *Program) Hold(in wardturn.QueueInput) time.Duration {
	if p.hold == nil {
		return p.fallback.Hold(in)
	}
	v, ok := p.call(p.hold, (*queueValue)(&in))
	if !ok {
		return p.fallback.Hold(in)
	}
	v = min(max(v, 0), maxHold.Seconds())
	return time.Duration(v * float64(time.Second))
}

// Order implements wardturn.Policy.
func (p *Program) Order(in wardturn.QueueInput) float64 {
	if p.order == nil {
		return p.fallback.Order(in)
	}
	v, ok := p.call(p.order, (*queueValue)(&in))
	if !ok {
		return p.fallback.Order(in)
	}
	return v
}

// Counters returns the counts of the calls so far.
func (p *Program) Counters() Counters {
	return p.counters
}

// LastError returns the error of the latest failed call, or nil if none failed.
func (p *Program) LastError() error {
	return p.lastErr
}

func (p *Program) call(fn starlark.Callable, arg starlark.Value) (float64, bool) {
	p.counters.Calls++
	thread := starlark.Thread{
		Name:  p.name,
		Print: discardOutput,
	}
	thread.SetMaxExecutionSteps(maxCallSteps)
	p.args[0] = arg
	v, err := starlark.Call(&thread, fn, p.args[:], nil)
	if err != nil {
		p.recordFailure(programErrorOf(p.name, err))
		if thread.Steps >= maxCallSteps {
			p.counters.StepLimitExceeded++
		}
		return 0, false
	}
	f, ok := starlark.AsFloat(v)
	if !ok || math.IsNaN(f) || math.IsInf(f, 0) {
		p.recordFailure(newProgramError(p.name, 1, 1, fn.Name()+" returned "+v.String()+", not a finite number"))
		return 0, false
	}
	return f, true
}

// discardOutput ignores the output of a program's print calls, which must do no I/O.
func discardOutput(*starlark.Thread, string) {}

func (p *Program) recordFailure(err error) {
	p.counters.Failures++
	p.lastErr = err
}
