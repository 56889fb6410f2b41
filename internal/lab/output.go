package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/logging"
)

// results prints the outcome of a command to standard output, one event per line.
var results = logging.NewPlain(os.Stdout)

// maxRunTime is the maximum duration of the calls command.
const maxRunTime = 30 * time.Minute

// millis converts microseconds to milliseconds.
func millis(micros int64) float64 { return float64(micros) / 1000 }

// putJSON sends a JSON value to a control path of a stand-in.
func putJSON(address, path string, value any) error {
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
