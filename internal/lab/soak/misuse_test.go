package soak_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/platform"
)

// Bounds of a daemon while clients misuse one of its addresses.
const (
	// maxResidentBytes is the memory of a daemon's machine at the target size.
	maxResidentBytes = 128 << 20
	// maxOtherDescriptors is the number of descriptors that a daemon of a small site needs for anything
	// but the misusing clients.
	maxOtherDescriptors = 100
)

// misuse describes the clients of one test.
type misuse struct {
	// clients is the number of clients, each with one connection at a time.
	clients int
	// bytesPerClient is the number of bytes that a client sends, over at most connectionsPerClient
	// connections.
	bytesPerClient, connectionsPerClient int
	// opening is sent at the start of each connection, then repeated again and again.
	opening, repeated string
	// keepOpen makes the clients keep their connections open until all have sent everything, and for
	// holdTime after that.
	keepOpen bool
}

// holdTime is the time for which a daemon can read what clients that keep their connections open have
// sent.
const holdTime = 3 * time.Second

// Endless input: 40 clients send 16 MiB each, far more than the daemon's memory together.
const (
	endlessClients     = 40
	endlessBytes       = 16 << 20
	endlessConnections = 20
)

// endless returns clients that repeat a piece after an opening.
func endless(opening, repeated string) misuse {
	return misuse{
		clients: endlessClients, bytesPerClient: endlessBytes, connectionsPerClient: endlessConnections,
		opening: opening, repeated: repeated,
	}
}

// singleBytes returns clients that send a head or a trailer section within the limit of 16 KiB byte by
// byte, and never end it.
func singleBytes(opening string) misuse {
	return misuse{clients: 100, bytesPerClient: 16_000, connectionsPerClient: 1, opening: opening, repeated: "v", keepOpen: true}
}

// Openings of requests. The paths are served, except at addresses that have no such path.
const (
	openHead  = "GET /look/a HTTP/1.1\r\nHost: shop.example\r\n"
	openOrder = "POST /order/a HTTP/1.1\r\nHost: shop.example\r\n" +
		platform.HeaderRequestID + ": misuse\r\n" + platform.HeaderDeadline + ": 60000\r\n"
	openChunked   = openOrder + chunked
	openReadiness = "GET " + platform.PathReadiness + " HTTP/1.1\r\nHost: a\r\n"
	openHeartbeat = "PUT " + platform.PathInstances + "misuse HTTP/1.1\r\nHost: a\r\n"
	chunked       = "Transfer-Encoding: chunked\r\n\r\n"
	lastChunk     = "1\r\nx\r\n0\r\n"
)

// Pieces that are repeated without end. They have about 4 kB, so that clients need few writes.
var (
	manyFields     = strings.Repeat("X-Field: value-of-a-field\r\n", 150)
	oneField       = strings.Repeat("v", 4<<10)
	manyEmptyLines = strings.Repeat("\r\n", 2<<10)
	manySpaces     = strings.Repeat(" ", 4<<10)
)

func TestCallerHeadsWithoutEnd(t *testing.T) {
	testMisuse(t, callerAddress, endless(openHead, manyFields))
}

func TestCallerHeaderFieldWithoutEnd(t *testing.T) {
	testMisuse(t, callerAddress, endless(openHead+"X-Field: ", oneField))
}

func TestCallerRequestLineWithoutEnd(t *testing.T) {
	testMisuse(t, callerAddress, endless("GET /", oneField))
}

func TestCallerEmptyLinesWithoutEnd(t *testing.T) {
	testMisuse(t, callerAddress, endless("", manyEmptyLines))
}

func TestCallerTrailersWithoutEnd(t *testing.T) {
	testMisuse(t, callerAddress, endless(openChunked+lastChunk, manyFields))
}

func TestCallerTrailerFieldWithoutEnd(t *testing.T) {
	testMisuse(t, callerAddress, endless(openChunked+lastChunk+"X-Field: ", oneField))
}

func TestCallerChunkLineWithoutEnd(t *testing.T) {
	testMisuse(t, callerAddress, endless(openChunked+"1", manySpaces))
}

// Guards against buffers that grow by more than the input if it arrives in single bytes.
func TestCallerHeadsInSingleBytes(t *testing.T) {
	testMisuse(t, callerAddress, singleBytes(openHead+"X-Field: "))
}

func TestCallerTrailersInSingleBytes(t *testing.T) {
	testMisuse(t, callerAddress, singleBytes(openChunked+lastChunk+"X-Field: "))
}

// Guards against memory for unfinished heads that is bounded for each connection only.
func TestCallerUnfinishedHeads(t *testing.T) {
	testMisuse(t, callerAddress, misuse{
		clients: 2500, bytesPerClient: 16_000, connectionsPerClient: 1, opening: openHead + "X-Field: ", repeated: oneField[:1000], keepOpen: true,
	})
}

// Guards against memory for bodies that is reserved as the caller states, without a bound for all callers.
func TestCallerUnfinishedBodies(t *testing.T) {
	testMisuse(t, callerAddress, misuse{
		clients: 2500, bytesPerClient: 65_000, connectionsPerClient: 1, opening: openOrder + "Content-Length: 65536\r\n\r\n", repeated: oneField[:1000], keepOpen: true,
	})
}

func TestReadinessHeadsWithoutEnd(t *testing.T) {
	testMisuse(t, readinessAddress, endless(openReadiness, manyFields))
}

func TestReadinessEmptyLinesWithoutEnd(t *testing.T) {
	testMisuse(t, readinessAddress, endless("", manyEmptyLines))
}

func TestReadinessTrailersWithoutEnd(t *testing.T) {
	testMisuse(t, readinessAddress, endless(openReadiness+chunked+lastChunk, manyFields))
}

func TestReadinessHeadsInSingleBytes(t *testing.T) {
	testMisuse(t, readinessAddress, singleBytes(openReadiness+"X-Field: "))
}

func TestInstanceHeadsWithoutEnd(t *testing.T) {
	testMisuse(t, instanceAddress, endless(openHeartbeat, manyFields))
}

func TestInstanceEmptyLinesWithoutEnd(t *testing.T) {
	testMisuse(t, instanceAddress, endless("", manyEmptyLines))
}

func TestInstanceTrailersWithoutEnd(t *testing.T) {
	testMisuse(t, instanceAddress, endless(openHeartbeat+chunked+lastChunk, manyFields))
}

func TestInstanceTrailerFieldWithoutEnd(t *testing.T) {
	testMisuse(t, instanceAddress, endless(openHeartbeat+chunked+lastChunk+"X-Field: ", oneField))
}

func TestInstanceHeadsInSingleBytes(t *testing.T) {
	testMisuse(t, instanceAddress, singleBytes(openHeartbeat+"X-Field: "))
}

// Guards against the HTTP library's default limit for heads, which is 1 MB a connection.
func TestMetricsUnfinishedHeads(t *testing.T) {
	testMisuse(t, metricsAddress, misuse{
		clients: 300, bytesPerClient: 1_000_000, connectionsPerClient: 1, opening: "GET /metrics HTTP/1.1\r\nHost: a\r\n", repeated: manyFields, keepOpen: true,
	})
}

func TestMetricsTrailersWithoutEnd(t *testing.T) {
	testMisuse(t, metricsAddress, endless("GET /metrics HTTP/1.1\r\nHost: a\r\n"+chunked+lastChunk, manyFields))
}

func callerAddress(running *process) string    { return running.addresses.Caller }
func readinessAddress(running *process) string { return running.addresses.Readiness }
func instanceAddress(running *process) string  { return running.addresses.Instances }
func metricsAddress(running *process) string   { return running.addresses.Metrics }

// startSmallSite starts a site of three machines whose daemons are set to maxResidentBytes of memory.
func startSmallSite(ctx context.Context, t *testing.T) *day.Site {
	t.Helper()
	processes := newLauncher(t)
	launch := func(config *settings.Daemon, logger logr.Logger) (day.Process, error) {
		config.MemoryMegabytes = maxResidentBytes >> 20
		return processes.launch(config, logger)
	}
	site, err := day.Start(ctx, options(launch, 1, 3), day.StandardRoutes())
	if site != nil {
		t.Cleanup(site.Close)
	}
	assert.NilError(t, err)
	return site
}

// testMisuse lets clients misuse one address of a daemon. The daemon must live on, hold its memory and
// its descriptors within the bounds, and serve an ordinary request afterwards.
func testMisuse(t *testing.T, addressOf func(*process) string, kind misuse) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 4*waitTimeout)
	defer cancel()
	site := startSmallSite(ctx, t)
	machine := site.Machines[0]
	running := processOf(t, machine)
	address := addressOf(running)

	ctx, stop := context.WithCancel(ctx)
	defer stop()
	watch := watchResources(running, stop)
	sent := kind.run(ctx, address)
	stop()
	seen := watch()

	t.Logf("%d clients sent %d bytes: at most %d MiB resident, %d descriptors", kind.clients, sent, seen.residentBytes>>20, seen.descriptors)
	assert.Assert(t, !running.hasExited(), "the daemon has ended:\n%s", running.output)
	assert.Check(t, seen.residentBytes <= maxResidentBytes, "%d bytes resident", seen.residentBytes)
	assert.Check(t, seen.descriptors <= 2*kind.clients+maxOtherDescriptors, "%d descriptors", seen.descriptors)
	awaitOrdinaryAnswer(t, site, machine)
	assert.Assert(t, machine.Ready(context.Background()), "%s", running.output)
}

// run lets all clients send and returns the number of bytes sent.
func (m misuse) run(ctx context.Context, address string) int {
	counts := make([]int, m.clients)
	var sending, clients sync.WaitGroup
	sending.Add(m.clients)
	for index := range m.clients {
		clients.Go(func() {
			open := m.send(ctx, address, &counts[index])
			sending.Done()
			sending.Wait()
			if open != nil {
				hold(ctx, open)
			}
		})
	}
	clients.Wait()
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// hold keeps a connection open for holdTime, or until ctx ends, and closes it.
func hold(ctx context.Context, conn net.Conn) {
	select {
	case <-ctx.Done():
	case <-time.After(holdTime):
	}
	_ = conn.Close()
}

// send sends the bytes of one client. It returns the last connection if that is to be kept open.
func (m misuse) send(ctx context.Context, address string, sent *int) net.Conn {
	for range m.connectionsPerClient {
		conn, err := (&net.Dialer{Timeout: 10 * time.Second}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil
		}
		// A daemon that does not read any more holds the client up only until this deadline.
		_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
		end := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
		err = m.sendOn(conn, sent)
		end()
		if err == nil && m.keepOpen {
			return conn
		}
		_ = conn.Close()
		if *sent >= m.bytesPerClient || ctx.Err() != nil {
			break
		}
	}
	return nil
}

// sendOn sends on one connection until the client has sent all its bytes or the connection fails.
func (m misuse) sendOn(conn net.Conn, sent *int) error {
	count, err := io.WriteString(conn, m.opening)
	for *sent += count; err == nil && *sent < m.bytesPerClient; *sent += count {
		count, err = io.WriteString(conn, m.repeated)
	}
	return err
}

// resources are the highest figures seen of a process.
type resources struct {
	residentBytes, descriptors int
}

// watchResources starts to watch a process. The returned function ends that and returns what was seen.
// The watch calls stop if the process holds so much memory that the other processes of the machine are
// at risk.
func watchResources(running *process, stop func()) func() resources {
	const pollInterval = 20 * time.Millisecond
	var seen resources
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			seen.add(running.command.Process.Pid)
			if seen.residentBytes > 8*maxResidentBytes {
				stop()
			}
			select {
			case <-ended:
				return
			case <-time.After(pollInterval):
			}
		}
	}()
	return func() resources {
		close(ended)
		<-done
		return seen
	}
}

// add reads the present figures. A process that has ended has none.
func (r *resources) add(pid int) {
	directory := filepath.Join("/proc", strconv.Itoa(pid))
	status, err := os.ReadFile(filepath.Join(directory, "status"))
	if err != nil {
		return
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes int
		if count, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); count == 1 {
			r.residentBytes = max(r.residentBytes, kilobytes<<10)
		}
	}
	if descriptors, err := os.ReadDir(filepath.Join(directory, "fd")); err == nil {
		r.descriptors = max(r.descriptors, len(descriptors))
	}
}

// awaitOrdinaryAnswer sends requests to a machine, one after the other, until one is served.
func awaitOrdinaryAnswer(t *testing.T, site *day.Site, machine *day.Machine) {
	t.Helper()
	var failure string
	for attempt, end := 0, time.Now().Add(waitTimeout); time.Now().Before(end); attempt++ {
		conn, err := net.DialTimeout("tcp", machine.Caller(), waitTimeout)
		if err != nil {
			failure = err.Error()
			time.Sleep(50 * time.Millisecond)
			continue
		}
		_ = conn.SetDeadline(end)
		_, _ = io.WriteString(conn, pipelinedRequest(site, machine, fmt.Sprintf("ordinary-%d", attempt), 100))
		answer, _ := io.ReadAll(io.LimitReader(conn, int64(len("HTTP/1.1 200"))))
		_ = conn.Close()
		if failure = string(answer); failure == fmt.Sprintf("HTTP/1.1 %d", http.StatusOK) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("no ordinary request was served; the last one got %q", failure)
}
