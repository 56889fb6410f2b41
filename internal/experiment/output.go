// Package experiment holds what the experiments have in common: how results are
// printed and written, and their bounds.
package experiment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/lapisvane/lapisvane/internal/logging"
)

// Results prints the outcome of experiments, one event a line.
var Results = logging.NewPlain(os.Stdout)

// SetUpLimit bounds the preparation of an experiment.
const SetUpLimit = 30 * time.Second

// MaxRunTime bounds every experiment of the lab.
const MaxRunTime = 30 * time.Minute

// Millis converts microseconds to milliseconds.
func Millis(micros int64) float64 { return float64(micros) / 1000 }

// WriteIndented writes a value as indented JSON.
func WriteIndented(path string, value any) error {
	encoded, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, encoded, 0o644)
}

// ProcessorTime returns the processor time of this process so far.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// PutJSON sends a value to a control path of a stand-in.
func PutJSON(address, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s answered %s", address, path, response.Status)
	}
	return nil
}
