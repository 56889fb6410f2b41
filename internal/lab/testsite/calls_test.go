package testsite_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
	"github.com/lapisvane/lapisvane/internal/lab/backendstub"
	"github.com/lapisvane/lapisvane/internal/lab/callload"
	"github.com/lapisvane/lapisvane/internal/lab/testsite"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
)

const convergenceTimeout = 30 * time.Second

// startSite runs a site with count back ends, one daemon beside each of them and
// a daemon "edge" without a back end.
func startSite(t *testing.T, count int, change func(*testsite.Profile)) *testsite.Site {
	t.Helper()
	profile := testsite.Swancycle()
	profile.ServiceTime = time.Millisecond
	profile.ConnectionCost = 0
	if change != nil {
		change(&profile)
	}
	site, err := testsite.NewSite(profile, logr.Discard())
	assert.NilError(t, err)
	t.Cleanup(site.Close)
	for index := range count {
		name := fmt.Sprintf("desk-%d", index+1)
		_, err := site.AddBackend("desk", name)
		assert.NilError(t, err)
		_, err = site.StartDaemon("beside-"+name, profile.Zones[index%len(profile.Zones)], []string{"*"}, "desk/"+name)
		assert.NilError(t, err)
	}
	_, err = site.StartDaemon("edge", profile.Zones[0], []string{"*"})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), convergenceTimeout)
	defer cancel()
	revision, err := site.Accept(ctx, "routes", meshconfig.File{
		Pools: []meshconfig.PoolFile{{Name: "desk", Group: "riders", Slots: uint32(profile.Slots), ConnectionLimit: 130}},
		Routes: []meshconfig.RouteFile{
			{Name: "lookup", Group: "riders", Pool: "desk", PathPrefix: "/lookup", Repeatable: true, DeadlineMillis: 5000},
			{Name: "order", Group: "riders", Pool: "desk", PathPrefix: "/order", DeadlineMillis: 5000},
			{Name: "upload", Group: "riders", Pool: "desk", PathPrefix: "/upload", Upload: true},
			{Name: "short", Group: "riders", Pool: "desk", PathPrefix: "/short", DeadlineMillis: 150},
		},
	})
	assert.NilError(t, err)
	assert.NilError(t, site.WaitInForce(ctx, revision))
	assert.NilError(t, site.WaitEndpoints(ctx, "desk", count))
	return site
}

// edgeCaller returns a caller that sends POST requests to the daemon "edge".
func edgeCaller(site *testsite.Site, path string, header http.Header) *callload.Caller {
	return &callload.Caller{
		Target: site.Daemons["edge"].Daemon.Addresses().Caller, Host: "desk.example", Path: path,
		Method: http.MethodPost, Header: header, Client: callload.NewHTTPClient(64),
	}
}

// TestOutcomesUnderBackendFaults makes calls of each kind under each fault of a
// back end and checks the outcome at the caller and the number of executions.
func TestOutcomesUnderBackendFaults(t *testing.T) {
	cases := []struct {
		name      string
		behaviour backendstub.Behaviour
		path      string
		// expect is the outcome of every call.
		expect callload.Outcome
		// runs is the number of executions of each call, -1 if it may vary.
		runs int
	}{
		{"healthy order", backendstub.Behaviour{}, "/order", callload.OutcomeDone, 1},
		{"order reset before it runs", backendstub.Behaviour{ResetBeforePercent: 100}, "/order", callload.OutcomeUnknown, 0},
		{"order reset after it ran", backendstub.Behaviour{ResetAfterPercent: 100}, "/order", callload.OutcomeUnknown, 1},
		{"order answer truncated", backendstub.Behaviour{TruncatePercent: 100}, "/order", callload.OutcomeUnknown, 1},
		{"order refused by a draining back end", backendstub.Behaviour{Draining: true}, "/order", callload.OutcomeNotRun, 0},
		{"lookup reset now and then", backendstub.Behaviour{ResetAfterPercent: 5}, "/lookup", callload.OutcomeDone, -1},
		{"lookup truncated now and then", backendstub.Behaviour{TruncatePercent: 5}, "/lookup", callload.OutcomeDone, -1},
		{"deadline passes while it runs", backendstub.Behaviour{ServiceTime: time.Second}, "/short", callload.OutcomeUnknown, 1},
	}
	site := startSite(t, 2, nil)
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			for _, backend := range site.Backends {
				backend.SetBehaviour(test.behaviour)
			}
			for number := range 10 {
				call := fmt.Sprintf("%s-%d", strings.ReplaceAll(test.name, " ", "-"), number)
				callResult := edgeCaller(site, test.path, nil).Do(context.Background(), call)
				assert.Check(t, callResult.Outcome == test.expect, "%+v", callResult)
				if test.runs >= 0 {
					assert.Check(t, len(site.Ledger.Runs(call)) == test.runs, "%s ran %d times", call, len(site.Ledger.Runs(call)))
				}
			}
		})
	}
}

// TestOutcomesAgreeWithTheLedger makes many concurrent calls under mixed faults,
// kills a daemon meanwhile, and compares every outcome with the executions.
func TestOutcomesAgreeWithTheLedger(t *testing.T) {
	site := startSite(t, 3, nil)
	for _, backend := range site.Backends {
		backend.SetBehaviour(backendstub.Behaviour{
			ServiceTime: 2 * time.Millisecond, ResetBeforePercent: 3, ResetAfterPercent: 3, TruncatePercent: 3, ShedAbove: 5,
		})
	}
	load := callload.Load{Caller: edgeCaller(site, "/order", nil), Workers: 24, Duration: 2 * time.Second, Name: "mixed"}
	var tally *callload.Tally
	var running sync.WaitGroup
	running.Go(func() { tally = load.Run(context.Background()) })
	time.Sleep(700 * time.Millisecond)
	site.Daemons["beside-desk-2"].Kill()
	running.Wait()
	assert.Assert(t, tally.Done > 100, "%v", tally.Results)
	assert.Assert(t, tally.Unknown > 0, "the faults had no effect")
	assert.DeepEqual(t, ledgerMismatches(site, tally), []string(nil))
}

// ledgerMismatches describes the calls whose outcome contradicts the ledger.
func ledgerMismatches(site *testsite.Site, tally *callload.Tally) []string {
	var list []string
	for _, callResult := range tally.Calls {
		runs := len(site.Ledger.Runs(callResult.Call))
		switch {
		case runs > 1:
			list = append(list, fmt.Sprintf("%s ran %d times", callResult.Call, runs))
		case callResult.Outcome == callload.OutcomeNotRun && runs > 0:
			list = append(list, callResult.Call+" ran although its outcome is not-run")
		case callResult.Outcome == callload.OutcomeDone && runs == 0:
			list = append(list, callResult.Call+" was answered although it did not run")
		case callResult.Outcome == callload.OutcomeWrong:
			list = append(list, callResult.Call+" got the answer of another call")
		}
	}
	return list
}

// TestLedgerCheckCatchesRetriesOfOrders sends calls over a repeatable route, on
// which daemons retry after an unknown outcome, and expects ledgerMismatches to
// report the calls that ran twice.
func TestLedgerCheckCatchesRetriesOfOrders(t *testing.T) {
	site := startSite(t, 2, nil)
	for _, backend := range site.Backends {
		backend.SetBehaviour(backendstub.Behaviour{ResetAfterPercent: 20})
	}
	load := callload.Load{Caller: edgeCaller(site, "/lookup", nil), Workers: 8, Duration: time.Second, Name: "retried"}
	assert.Assert(t, len(ledgerMismatches(site, load.Run(context.Background()))) > 0)
}

func TestAnswersAndBodiesAreWhole(t *testing.T) {
	site := startSite(t, 2, nil)
	for _, size := range []int{0, 1, 1000, 70_000, 3_000_000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			body := bytes.Repeat([]byte("lapis"), size/5+1)[:size]
			for _, chunked := range []bool{false, true} {
				header := http.Header{}
				header.Set(backendstub.HeaderAnswerBytes, fmt.Sprint(size))
				var reader io.Reader = bytes.NewReader(body)
				if chunked {
					reader = io.MultiReader(reader)
				}
				request, err := http.NewRequest(http.MethodPost, "http://"+site.Daemons["edge"].Daemon.Addresses().Caller+"/upload", reader)
				assert.NilError(t, err)
				request.Header = header
				request.Header.Set(backendstub.HeaderCall, "whole")
				response, err := http.DefaultClient.Do(request)
				assert.NilError(t, err)
				content, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				sum := sha256.Sum256(body)
				assert.Equal(t, response.Header.Get(backendstub.HeaderBodyDigest), hex.EncodeToString(sum[:]))
				assert.Equal(t, response.Header.Get(callapi.HeaderOutcome), callapi.OutcomeDone)
				assert.Assert(t, len(content) >= size)
			}
		})
	}
}

// exchangeRaw sends bytes to the daemon "edge" and returns its whole answer.
func exchangeRaw(t *testing.T, site *testsite.Site, raw string) string {
	t.Helper()
	conn, err := net.Dial("tcp", site.Daemons["edge"].Daemon.Addresses().Caller)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = conn.Write([]byte(raw))
	assert.NilError(t, err)
	answer, _ := io.ReadAll(bufio.NewReader(conn))
	return string(answer)
}

func TestAmbiguousRequestsAreRefused(t *testing.T) {
	site := startSite(t, 1, nil)
	cases := map[string]string{
		"length and chunked":     "POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two lengths":            "POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
		"signed length":          "POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\nhello",
		"bad transfer encoding":  "POST /order HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"folded line":            "POST /order HTTP/1.1\r\nHost: a\r\nX: 1\r\n Content-Length: 5\r\nContent-Length: 0\r\n\r\n",
		"space before the colon": "POST /order HTTP/1.1\r\nHost: a\r\nContent-Length : 0\r\n\r\n",
		"bare line feed":         "POST /order HTTP/1.1\nHost: a\nContent-Length: 0\n\n",
		"two hosts":              "GET /order HTTP/1.1\r\nHost: a\r\nHost: b\r\nConnection: close\r\n\r\n",
		"no host":                "GET /order HTTP/1.1\r\nConnection: close\r\n\r\n",
		"not HTTP":               "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 random bytes \r\n\r\n",
		"tunnel":                 "CONNECT a:1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
	}
	for name, raw := range cases {
		t.Run(name, func(t *testing.T) {
			answer := exchangeRaw(t, site, raw)
			assert.Assert(t, answer == "" || strings.HasPrefix(answer, "HTTP/1.1 400"), "%q", answer)
		})
	}
	assert.Equal(t, site.Ledger.Total(), 0)
}

func TestExpectContinueAndTrailers(t *testing.T) {
	site := startSite(t, 1, nil)
	answer := exchangeRaw(t, site, "POST /order HTTP/1.1\r\nHost: a\r\nLab-Call: c\r\nExpect: 100-continue\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello")
	assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"), "%q", answer)
	answer = exchangeRaw(t, site, "POST /order HTTP/1.1\r\nHost: a\r\nLab-Call: d\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\nConnection: close\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n")
	assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 200"), "%q", answer)
	assert.Equal(t, len(site.Ledger.Runs("d")), 1)
}

func TestDisconnectCancelsTheCallAtTheBackend(t *testing.T) {
	site := startSite(t, 1, func(p *testsite.Profile) { p.ServiceTime = 5 * time.Second })
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		edgeCaller(site, "/order", nil).Do(ctx, "left")
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(site.Ledger.Runs("left")) == 1 {
			return poll.Success()
		}
		return poll.Continue("the call has not begun")
	}, poll.WithTimeout(convergenceTimeout), poll.WithDelay(5*time.Millisecond))
	cancel()
	<-finished
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if site.Ledger.Cancelled() == 1 {
			return poll.Success()
		}
		return poll.Continue("the back end has not cancelled the call")
	}, poll.WithTimeout(convergenceTimeout), poll.WithDelay(5*time.Millisecond))
}

func TestIdempotencyKeyRunsOnce(t *testing.T) {
	site := startSite(t, 3, nil)
	header := http.Header{}
	header.Set(callapi.HeaderIdempotencyKey, "unlock-77")
	var done, duplicates int
	for number := range 6 {
		callResult := edgeCaller(site, "/order", header).Do(context.Background(), fmt.Sprintf("keyed-%d", number))
		switch {
		case callResult.Outcome == callload.OutcomeDone:
			done++
		case callResult.Result == "5012":
			duplicates++
		}
	}
	assert.Equal(t, done, 1)
	assert.Equal(t, duplicates, 5)
	assert.Equal(t, site.Ledger.Total(), 1)
}

// streamedBody is a request body that is sent in pieces and ends when its channel is closed.
type streamedBody struct {
	pieces chan []byte
	sent   int
}

func (b *streamedBody) Read(buffer []byte) (int, error) {
	piece, open := <-b.pieces
	if !open {
		return 0, io.EOF
	}
	b.sent += len(piece)
	return copy(buffer, piece), nil
}

// TestPlannedStopsCutNothing drains back ends and stops daemons on either side
// during an upload, and checks that the upload is still answered.
func TestPlannedStopsCutNothing(t *testing.T) {
	cases := []struct {
		name string
		stop func(t *testing.T, site *testsite.Site, instance string) (finished <-chan struct{})
	}{
		{"back end drained by an operator", func(t *testing.T, site *testsite.Site, instance string) <-chan struct{} {
			_, err := site.Command(context.Background(), "edge", "drain desk/"+instance)
			assert.NilError(t, err)
			return closedChannel()
		}},
		{"back end retired by an operator", func(t *testing.T, site *testsite.Site, instance string) <-chan struct{} {
			_, err := site.Command(context.Background(), "edge", "retire desk/"+instance)
			assert.NilError(t, err)
			return closedChannel()
		}},
		{"daemon beside the back end stopped", func(_ *testing.T, site *testsite.Site, instance string) <-chan struct{} {
			return stopInBackground(site.Daemons["beside-"+instance])
		}},
		{"caller's daemon stopped", func(_ *testing.T, site *testsite.Site, _ string) <-chan struct{} {
			return stopInBackground(site.Daemons["edge"])
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			site := startSite(t, 2, nil)
			body := &streamedBody{pieces: make(chan []byte)}
			caller := edgeCaller(site, "/upload", nil)
			caller.Body = func() io.Reader { return body }
			result := make(chan callload.CallResult, 1)
			go func() { result <- caller.Do(context.Background(), "slow-upload") }()
			for range 3 {
				body.pieces <- bytes.Repeat([]byte("u"), 1000)
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if len(site.Ledger.Runs("slow-upload")) == 1 {
					return poll.Success()
				}
				return poll.Continue("the upload has not begun")
			}, poll.WithTimeout(convergenceTimeout), poll.WithDelay(5*time.Millisecond))
			instance := site.Ledger.Runs("slow-upload")[0].Instance
			finished := test.stop(t, site, instance)
			time.Sleep(time.Second)
			for range 3 {
				body.pieces <- bytes.Repeat([]byte("u"), 1000)
			}
			close(body.pieces)
			callResult := <-result
			assert.Equal(t, callResult.Outcome, callload.OutcomeDone, "%+v", callResult)
			<-finished
			for _, member := range site.Daemons {
				assert.Equal(t, member.CutCalls, int64(0))
			}
		})
	}
}

// TestCallsThatOutlastAStopAreAnswered stops the caller's daemon during a call
// that takes longer than the daemon's stop limit. The caller must get a complete
// answer that reports the outcome as unknown.
func TestCallsThatOutlastAStopAreAnswered(t *testing.T) {
	site := startSite(t, 1, func(profile *testsite.Profile) {
		profile.StopLimit = tunables.Duration(500 * time.Millisecond)
		profile.ServiceTime = time.Minute
	})
	caller := edgeCaller(site, "/upload", nil)
	result := make(chan callload.CallResult, 1)
	go func() { result <- caller.Do(context.Background(), "endless") }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(site.Ledger.Runs("endless")) == 1 {
			return poll.Success()
		}
		return poll.Continue("the call has not begun")
	}, poll.WithTimeout(convergenceTimeout), poll.WithDelay(5*time.Millisecond))
	site.Daemons["edge"].Stop()
	// The process may end after Stop, so the answer must have been written.
	assert.Equal(t, site.Daemons["edge"].Daemon.InFlight(), int64(0))
	callResult := <-result
	assert.Equal(t, callResult.Status, http.StatusBadGateway, "%+v", callResult)
	assert.Equal(t, callResult.Outcome, callload.OutcomeUnknown)
	assert.Equal(t, site.Daemons["edge"].CutCalls, int64(1))
}

// closedChannel is the result of a stop that has already finished.
func closedChannel() <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

func stopInBackground(member *testsite.Member) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		member.Stop()
	}()
	return done
}

func TestDrainedBackendGetsNoNewWork(t *testing.T) {
	site := startSite(t, 2, nil)
	table, err := site.Command(context.Background(), "edge", "drain desk/desk-1")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), convergenceTimeout)
	defer cancel()
	assert.Equal(t, table.Rows[0][0], "2")
	assert.NilError(t, site.WaitInForce(ctx, 2))
	for number := range 40 {
		callResult := edgeCaller(site, "/order", nil).Do(ctx, fmt.Sprintf("after-drain-%d", number))
		assert.Equal(t, callResult.Outcome, callload.OutcomeDone)
		assert.Equal(t, callResult.Instance, "desk-2")
	}
	_, err = site.Command(ctx, "edge", "undrain desk/desk-1")
	assert.NilError(t, err)
	assert.NilError(t, site.WaitEndpoints(ctx, "desk", 2))
}

func TestTLSKeysAreServedAndRotated(t *testing.T) {
	site := startSite(t, 1, nil)
	authority, err := testsite.NewCertificateAuthority("test")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), convergenceTimeout)
	defer cancel()
	install := func(operation string) []byte {
		pair, err := authority.Issue("rides.example")
		assert.NilError(t, err)
		revision, err := site.Accept(ctx, operation, meshconfig.File{
			Secrets: []meshconfig.SecretFile{{Name: "rides", Group: "riders", CertificatePEM: string(pair.Certificate), PrivateKeyPEM: string(pair.Key)}},
			Routes:  []meshconfig.RouteFile{{Name: "secure", Group: "riders", Pool: "desk", Host: "rides.example", PathPrefix: "/", Secret: "rides"}},
		})
		assert.NilError(t, err)
		assert.NilError(t, site.WaitInForce(ctx, revision))
		return pair.Certificate
	}
	install("first-key")
	member, err := site.StartTLSDaemon("tls", site.Daemons["edge"].Settings.Zone)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if member.Daemon.ReadyEndpoints("desk") == 1 && member.Daemon.Info().InForce >= 2 {
			return poll.Success()
		}
		return poll.Continue("not ready")
	}, poll.WithTimeout(convergenceTimeout))
	roots := x509.NewCertPool()
	assert.Assert(t, roots.AppendCertsFromPEM(authority.PEM))
	dial := func() *tls.Conn {
		conn, err := tls.Dial("tcp", member.Daemon.Addresses().CallerTLS, &tls.Config{RootCAs: roots, ServerName: "rides.example"})
		assert.NilError(t, err)
		return conn
	}
	ask := func(conn *tls.Conn) {
		_, err := io.WriteString(conn, "GET /lookup HTTP/1.1\r\nHost: rides.example\r\nLab-Call: tls\r\n\r\n")
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	old := dial()
	ask(old)
	install("second-key")
	assert.NilError(t, site.WaitInForce(ctx, 3))
	fresh := dial()
	ask(fresh)
	ask(old)
	assert.Assert(t, !old.ConnectionState().PeerCertificates[0].Equal(fresh.ConnectionState().PeerCertificates[0]))
	_, err = tls.Dial("tcp", member.Daemon.Addresses().CallerTLS, &tls.Config{RootCAs: roots, ServerName: "other.example"})
	assert.Assert(t, err != nil, "a host without a secret was served")
}
