package soak_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
	"github.com/lapisvane/lapisvane/platform"
)

// findBound is the time after the start of a machine within which its instance serves requests of others.
const findBound = 3 * time.Second

// kindMembers is the kind of the daemons' entries in the store.
const kindMembers = "lapisvane-members"

// nestedEntry is nested deeper than encoding/json decodes.
var nestedEntry = strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)

// oddEntries are specs of daemons' entries by other writers. The address in the last ones belongs to no daemon.
var oddEntries = map[string]string{
	"nested":              nestedEntry,
	"nested field":        `{"peer":"127.0.0.1:9","at":"a","of":"desk","more":` + nestedEntry + `}`,
	"number too large":    `{"peer":"127.0.0.1:9","at":"a","of":"desk","more":1e999}`,
	"number of 300 bytes": `{"peer":` + strings.Repeat("9", 300) + `,"at":"a","of":"desk"}`,
	"port out of range":   `{"peer":"127.0.0.1:65536","at":"a","of":"desk"}`,
	"port of 23 digits":   `{"peer":"127.0.0.1:` + strings.Repeat("1", 23) + `","at":"a","of":"desk"}`,
	"port zero":           `{"peer":"127.0.0.1:0","at":"a","of":"desk"}`,
	"address of 900 kB":   `{"peer":"` + strings.Repeat("1", 900_000) + `","at":"a","of":"desk"}`,
	"nobody's address":    `{"peer":"127.0.0.1:9","at":"a","of":"desk"}`,
}

func TestMachineIsFoundBesideAnOddEntry(t *testing.T) {
	for name, entry := range oddEntries {
		t.Run(name, func(t *testing.T) {
			processes := newLauncher(t)
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout/2)
			defer cancel()
			siteOptions := options(processes.launch, 1, 2)
			siteOptions.Machines = []day.Placement{{Zone: "a", Service: "desk"}, {Zone: "b", Service: "yard"}, {Zone: "c", Service: "desk"}}
			site, err := day.Start(ctx, siteOptions, day.StandardRoutes())
			if site != nil {
				defer site.Close()
			}
			assert.NilError(t, err)
			assert.NilError(t, site.Store.PutText(kindMembers, "a-odd", entry))
			assert.NilError(t, site.Store.PutText(kindMembers, "z-odd", entry))
			running, restarted := site.Machines[0], site.Machines[2]
			assert.NilError(t, restarted.Kill(0))
			started := time.Now()
			added, err := site.AddMachine(day.Placement{Zone: "c", Service: "yard"})
			assert.NilError(t, err)
			// The other machine has an instance of the service, which it prefers.
			for _, machine := range []*day.Machine{running, restarted} {
				found := awaitFound(ctx, t, site, machine, added).Sub(started)
				t.Logf("%s found the new machine %d ms after its start", machine.Name, found.Milliseconds())
				assert.Check(t, found <= findBound, "%s after %s\n%s", machine.Name, found, processOf(t, machine).output)
				assert.Check(t, !processOf(t, machine).hasExited())
			}
		})
	}
}

// requestsAtOnce is the number of requests that wait for their answers at the same time. A single one goes
// to the other instance as often as chance has it, although the added one is known.
const requestsAtOnce = 8

// awaitFound sends requests to a machine until the instance of an added one gets one of them, and returns when.
func awaitFound(ctx context.Context, t *testing.T, site *day.Site, machine, added *day.Machine) time.Time {
	t.Helper()
	before := added.Instance().Received()
	for round := 0; ctx.Err() == nil; round++ {
		var answered atomic.Int64
		var sending sync.WaitGroup
		for number := range requestsAtOnce {
			sending.Go(func() {
				id := fmt.Sprintf("%s-stock-%d-%d", machine.Name, round, number)
				if requestStock(ctx, site, machine, id) == http.StatusOK {
					answered.Add(1)
				}
			})
		}
		sending.Wait()
		if answered.Load() > 0 && added.Instance().Received() > before {
			return time.Now()
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("no request of %s reached the new machine\n%s", machine.Name, processOf(t, machine).output)
	return time.Time{}
}

// requestStock returns the status of one request; 0 if there is no answer.
func requestStock(ctx context.Context, site *day.Site, machine *day.Machine, id string) (status int) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", machine.Caller())
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	site.Ledger.Sent(promise.Request{ID: id, Safe: true, Services: map[string]bool{"yard": true}, Caller: machine.Service, SentAt: time.Now()})
	_, _ = fmt.Fprintf(conn, "GET /stock/a HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 1000\r\n\r\n", platform.HeaderRequestID, id, platform.HeaderDeadline)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
