package backendstub

import "sync"

// Execution is one run of a call at a back-end instance.
type Execution struct{ Instance string }

// Ledger records every execution of every call. It is safe for concurrent use;
// the zero value is ready to use.
type Ledger struct {
	mutex      sync.Mutex
	executions map[string][]Execution
	cancelled  int
}

// recordRun records that call began to run at instance.
func (l *Ledger) recordRun(call, instance string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.executions == nil {
		l.executions = map[string][]Execution{}
	}
	l.executions[call] = append(l.executions[call], Execution{Instance: instance})
}

func (l *Ledger) recordCancel() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cancelled++
}

// Runs returns the executions of call.
func (l *Ledger) Runs(call string) []Execution {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]Execution(nil), l.executions[call]...)
}

// Cancelled returns the number of executions that ended early because the caller disconnected or
// its deadline passed.
func (l *Ledger) Cancelled() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.cancelled
}

// Total returns the number of executions of all calls.
func (l *Ledger) Total() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	total := 0
	for _, runs := range l.executions {
		total += len(runs)
	}
	return total
}
