package soak_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/instance"
	"github.com/lapisvane/lapisvane/platform"
)

// Callers of an instance that sends answers without end.
const (
	endlessAnswerCallers = 40
	endlessAnswerTime    = 6 * time.Second
)

// Openings of answers.
const (
	openAnswer        = "HTTP/1.1 200 OK\r\n" + platform.HeaderRequestID + ": " + instance.RequestIDPlaceholder + "\r\n"
	openAnswerChunked = openAnswer + chunked
)

func TestAnswerHeadWithoutEnd(t *testing.T)        { testEndlessAnswer(t, openAnswer, manyFields) }
func TestAnswerHeaderFieldWithoutEnd(t *testing.T) { testEndlessAnswer(t, openAnswer+"A: ", oneField) }
func TestAnswerStatusLineWithoutEnd(t *testing.T)  { testEndlessAnswer(t, "HTTP/1.1 200 ", oneField) }

func TestInterimAnswersWithoutEnd(t *testing.T) {
	testEndlessAnswer(t, "", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 100))
}

func TestAnswersOfOtherRequestsWithoutEnd(t *testing.T) {
	testEndlessAnswer(t, "", strings.Repeat("HTTP/1.1 200 OK\r\n"+platform.HeaderRequestID+": another\r\nContent-Length: 1\r\n\r\nx", 100))
}

func TestAnswerBodyWithoutEnd(t *testing.T) { testEndlessAnswer(t, openAnswer+"\r\n", oneField) }

func TestAnswerChunksWithoutEnd(t *testing.T) {
	testEndlessAnswer(t, openAnswerChunked, "1000\r\n"+oneField+"\r\n")
}

func TestAnswerChunkLineWithoutEnd(t *testing.T) {
	testEndlessAnswer(t, openAnswerChunked+"1;", oneField)
}

func TestAnswerTrailersWithoutEnd(t *testing.T) {
	testEndlessAnswer(t, openAnswerChunked+lastChunk, manyFields)
}

func TestAnswerTrailerFieldWithoutEnd(t *testing.T) {
	testEndlessAnswer(t, openAnswerChunked+lastChunk+"A: ", oneField)
}

func TestNoAnswerWithoutEnd(t *testing.T) { testEndlessAnswer(t, "", strings.Repeat("\x00", 4<<10)) }

// testEndlessAnswer lets the instance beside a daemon send answers without end to many callers. The daemon must live
// on and hold its memory within the bound, and serve an ordinary request once the instance is sound again.
func testEndlessAnswer(t *testing.T, opening, repeated string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 4*waitTimeout)
	defer cancel()
	site := startSmallSite(ctx, t)
	machine := site.Machines[0]
	running := processOf(t, machine)
	machine.Instance().Set(instance.Behaviour{Endless: instance.EndlessAnswer{Opening: opening, Repeated: repeated}})

	ctx, stop := context.WithTimeout(ctx, endlessAnswerTime)
	defer stop()
	watch := watchResources(running, stop)
	var callers sync.WaitGroup
	for caller := range endlessAnswerCallers {
		callers.Go(func() { callAgainAndAgain(ctx, site, machine, fmt.Sprintf("caller-%d", caller)) })
	}
	callers.Wait()
	seen := watch()
	machine.Instance().Set(instance.Behaviour{})

	t.Logf("at most %d MiB resident, %d descriptors, %d requests at the instance", seen.residentBytes>>20, seen.descriptors, machine.Instance().Received())
	assert.Assert(t, machine.Instance().Received() > 0)
	assert.Assert(t, !running.hasExited(), "the daemon has ended:\n%s", running.output)
	assert.Check(t, seen.residentBytes <= maxResidentBytes, "%d bytes resident", seen.residentBytes)
	awaitOrdinaryAnswer(t, site, machine)
}

// callAgainAndAgain sends requests to a machine, each on a connection of its own, and reads the answers, until ctx
// ends.
func callAgainAndAgain(ctx context.Context, site *day.Site, machine *day.Machine, name string) {
	for number := 0; ctx.Err() == nil; number++ {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", machine.Caller())
		if err != nil {
			continue
		}
		end := context.AfterFunc(ctx, func() { _ = conn.Close() })
		_, _ = io.WriteString(conn, pipelinedRequest(site, machine, fmt.Sprintf("%s-%d", name, number), 100))
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
		}
		end()
		_ = conn.Close()
	}
}
