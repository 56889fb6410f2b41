package soak_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/client"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/objectstore"
	"github.com/lapisvane/lapisvane/platform"
)

// The failure: requests in flight ended without an answer, most 0.2 to 0.4 s after they were sent,
// when a daemon that was being stopped got a second signal; a daemon that had just begun to listen
// ended by a SIGHUP; and a daemon whose output nobody reads any more ended at its next line. The
// cause: the second signal meant "cut everything", and the handlers were set after the listeners,
// or not at all. Those who send such signals do not know of one another: a supervisor that
// repeats its stop, a platform that overlaps two kinds of planned work, a terminal that signals
// the whole group of processes.
//
// The evidence: with a second signal the exit status was 1 after 0.15 to 0.33 s and 68 requests
// were lost in 36 stops; without it the status was 0 after 2.6 to 3.4 s.
func TestSignals(t *testing.T) {
	t.Run("a second one during a stop cuts nothing", testRepeatedSignals)
	t.Run("callers that are refused meanwhile are no calls to cut", testRefusedDuringAStop)
	t.Run("bodies that are coming in are answered", testUploadsDuringAStop)
	t.Run("one right after the first listener opened", testSignalsOfAStartingDaemon)
	t.Run("nobody reads the output any more", testClosedOutput)
}

func testRepeatedSignals(t *testing.T) {
	started := newLauncher(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
	defer cancel()
	site, err := day.Start(ctx, options(started.launch, 1, 3), day.StandardRoutes())
	if site != nil {
		defer site.Close()
	}
	assert.NilError(t, err)
	loadCtx, endLoad := context.WithCancel(ctx)
	load := &client.Load{Kept: callers(2), Targets: site.Targets(), Ledger: site.Ledger, Tally: client.NewTally(), Seed: 1}
	var loading sync.WaitGroup
	loading.Go(func() { load.Run(loadCtx) })
	for index, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGTERM} {
		machine := site.Machines[index%len(site.Machines)]
		running := processOf(t, machine)
		for _, after := range []time.Duration{20 * time.Millisecond, 150 * time.Millisecond, 320 * time.Millisecond} {
			timer := time.AfterFunc(after, func() { running.signal(signal) })
			defer timer.Stop()
		}
		_, err := machine.Roll(0)
		assert.NilError(t, err)
		assert.Check(t, running.exit(t) == "exit status 0", "%s after SIGTERM: %s", signal, running.exit(t))
		assert.NilError(t, site.AwaitReady(ctx))
	}
	endLoad()
	loading.Wait()
	for _, breach := range site.Ledger.Breaches() {
		t.Errorf("%+v", breach)
	}
}

// The failure: a stop ended with status 1 and "daemon.calls_cut calls=1" although every call had been
// answered: callers came again as soon as they were refused, so that the stop never saw a moment
// without a request, and counted the refusal in progress at its limit as a call that it cut.
func testRefusedDuringAStop(t *testing.T) {
	started := newLauncher(t)
	running := launchAlone(t, started)
	awaitListening(t, running.addresses.Caller)
	const callers = 32
	var calling sync.WaitGroup
	for range callers {
		calling.Go(func() { callUntilEnded(running) })
	}
	running.signal(syscall.SIGTERM)
	assert.Check(t, running.exit(t) == "exit status 0", "%s", running.exit(t))
	calling.Wait()
	_, stop, _ := strings.Cut(running.output.String(), "event=daemon.stopping")
	assert.Check(t, !strings.Contains(stop, "event=daemon.calls_cut"))
	assert.Check(t, strings.Contains(stop, "cut=0 open=0 undelivered=0"), "%s", lastLine(stop))
}

// The failure: callers of long uploads saw their connections end when the process ended, amid the
// body or before they had read the refusal that was written meanwhile.
func testUploadsDuringAStop(t *testing.T) {
	started := newLauncher(t)
	running := launchAlone(t, started)
	awaitListening(t, running.addresses.Caller)
	const callers = 8
	var answered, cut atomic.Int64
	var calling sync.WaitGroup
	for range callers {
		calling.Go(func() {
			for !running.hasEnded() {
				switch err := upload(running.addresses.Caller); {
				case err == nil:
					answered.Add(1)
				case !errors.Is(err, errNotAccepted):
					cut.Add(1)
					t.Log(err)
				}
			}
		})
	}
	running.signal(syscall.SIGTERM)
	assert.Check(t, running.exit(t) == "exit status 0", "%s", running.exit(t))
	calling.Wait()
	assert.Assert(t, answered.Load() > callers)
	assert.Equal(t, cut.Load(), int64(0))
}

// errNotAccepted is for an upload that the daemon never asked for.
var errNotAccepted = errors.New("not accepted")

// upload sends a long body in pieces, once the daemon has asked for it, and reads the answer.
func upload(address string) error {
	const pieces, pieceBytes, pause = 30, 10_000, 10 * time.Millisecond
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return errNotAccepted
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: desk\r\nContent-Length: %d\r\nExpect: 100-continue\r\n\r\n", pieces*pieceBytes)
	if err != nil {
		return errNotAccepted
	}
	if interim, err := http.ReadResponse(reader, nil); err != nil || interim.StatusCode != http.StatusContinue {
		return errNotAccepted
	}
	for range pieces {
		if _, err := conn.Write(make([]byte, pieceBytes)); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// lastLine returns the last line of what a process has written.
func lastLine(output string) string {
	lines := strings.Split(strings.TrimSpace(output), "\n")
	return lines[len(lines)-1]
}

// callUntilEnded sends one request after the other, each on a connection of its own, until the
// process has ended.
func callUntilEnded(running *process) {
	caller := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	for {
		select {
		case <-running.ended:
			return
		default:
		}
		// A call fails once nobody listens any more.
		if response, err := caller.Get("http://" + running.addresses.Caller + "/"); err == nil {
			_ = response.Body.Close()
		}
	}
}

// ownHost returns an address of loopback that tests of other processes do not use at the same time.
func ownHost() string {
	const perByte = 250
	number := os.Getpid()
	return fmt.Sprintf("127.254.%d.%d", 1+number/perByte%perByte, 1+number%perByte)
}

// launchAlone starts a daemon that finds a store and no other daemons.
func launchAlone(t *testing.T, started *launcher) *process {
	t.Helper()
	host := ownHost()
	store, err := objectstore.Start(objectstore.Options{Address: "127.0.0.1:0"})
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	assert.NilError(t, store.PutSpec(platform.KindConfig, platform.NameConfig, day.Config(1, []string{"desk"}, nil)))
	config := settings.DefaultDaemon()
	config.Node, config.Zone, config.Service = "alone", "a", "desk"
	config.PeerAddress, config.CallerAddress = host+":20001", host+":20002"
	config.InstanceAddress, config.ReadinessAddress = host+":20003", host+":20004"
	config.Platform.Form, config.Platform.Addresses = platform.Form, []string{store.Address()}
	config.StopLimit = tunables.Duration(4 * time.Second)
	running, err := started.launch(&config, logr.Discard())
	assert.NilError(t, err)
	return running.(*process)
}

// awaitListening returns once a process listens at an address.
func awaitListening(t *testing.T, address string) {
	t.Helper()
	for end := time.Now().Add(patience); ; {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
			return
		}
		assert.Assert(t, time.Now().Before(end), "nobody listens at %s", address)
	}
}

func testSignalsOfAStartingDaemon(t *testing.T) {
	started := newLauncher(t)
	const rounds = 4
	for range rounds {
		running := launchAlone(t, started)
		awaitListening(t, running.addresses.Peer)
		running.signal(syscall.SIGHUP)
		running.signal(syscall.SIGTERM)
		assert.Equal(t, running.exit(t), "exit status 0")
		assert.Assert(t, strings.Contains(running.output.String(), "event=daemon.stopped"), "%s", running.output)
	}
}

func testClosedOutput(t *testing.T) {
	started := newLauncher(t)
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	started.output = writer
	running := launchAlone(t, started)
	assert.NilError(t, writer.Close())
	awaitListening(t, running.addresses.Caller)
	_, err = io.ReadAtLeast(reader, make([]byte, 1<<10), 1)
	assert.NilError(t, err)
	assert.NilError(t, reader.Close())
	// Each makes the daemon write a line.
	for range 3 {
		running.signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
	}
	running.signal(syscall.SIGTERM)
	assert.Equal(t, running.exit(t), "exit status 0")
}
