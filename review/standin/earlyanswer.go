package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Limits and load of the case: memory-mb and the size of uploads are those of the site, and the uploads
// come at about three times their usual rate.
const (
	memoryLimitMB  = 284
	uploadBytes    = 100_000
	uploadInterval = 10 * time.Millisecond
	orderInterval  = 25 * time.Millisecond
	serviceFiles   = "files"
	hostFiles      = "files.example"
)

// earlyAnswer checks LOST: an instance answers uploads before it has read them, and goes on reading. The
// daemon beside it runs out of memory; the platform kills it, and orders that it had taken from kept
// connections and passed on to a sound instance elsewhere get no answer.
func earlyAnswer(l *lab) {
	spec := configuration(7, nil)
	routes := spec["routes"].(table)
	routes.Rows = append(routes.Rows, []any{"r-upload", hostFiles, "/upload/", "upload", 1500, 500, 1, serviceFiles, 2, false, nil})
	services := spec["services"].(table)
	services.Rows = append(services.Rows, []any{serviceFiles, "/health", 130, "h1", false})
	spec["routes"], spec["services"] = routes, services
	l.store.put("config", "main", spec)
	beside := l.addMachine("machine-1", "kgn-halfway", "kgn", serviceFiles, smallSettings)
	other := l.addMachine("machine-2", "kgn-newport", "kgn", serviceOrders, smallSettings)
	for _, i := range []*instance{
		{lab: l, id: "i-files", service: serviceFiles, machine: beside, slots: 12, work: 20 * time.Millisecond, early: l.trouble},
		{lab: l, id: "i-orders", service: serviceOrders, machine: other, slots: 12, work: 250 * time.Millisecond},
	} {
		i.start()
		i.keepBeating()
	}
	l.startAll()
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() {
		newClient(l, other).sendEvery(uploadInterval, call{method: http.MethodPost, host: hostFiles, path: "/upload/2f", deadline: 3 * time.Second, bytes: uploadBytes}, stop)
	})
	kept := newKeptClient(l, beside)
	sending.Go(func() {
		kept.sendEvery(orderInterval, call{method: http.MethodPost, host: hostOrders, path: "/order/2f", deadline: 3 * time.Second}, stop)
	})
	killed, highest := beside.killAboveMemory(memoryLimitMB, 75*time.Second)
	time.Sleep(time.Second)
	close(stop)
	sending.Wait()
	lost := l.lostOrders(beside.name, "i-orders")
	l.finish(lost > 3, fmt.Sprintf(
		"LOST: %d orders from kept connections were passed on to a sound instance, and their connection was closed without an answer; machine-1 used %d MB of %d and was killed for it: %v",
		lost, highest, memoryLimitMB, killed))
}

// newKeptClient returns a client that keeps its connections.
func newKeptClient(l *lab, m *machine) *client {
	return &client{lab: l, machine: m, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// killAboveMemory kills the daemon once it uses more memory than limit, as the platform does with a process
// that goes over memory-mb, and gives up after a time. It returns the highest use in MB.
func (m *machine) killAboveMemory(limit int, after time.Duration) (killed bool, highest int) {
	written := 0
	for until := time.Now().Add(after); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		highest = max(highest, residentMB(m.process.Process.Pid))
		if highest >= written+25 {
			written = highest
			m.lab.record("daemon %s uses %d MB", m.name, highest)
		}
		if highest > limit {
			m.lab.record("daemon %s uses %d MB, more than the limit of %d MB", m.name, highest, limit)
			_ = m.process.Process.Signal(syscall.SIGKILL)
			_ = m.process.Wait()
			return true, highest
		}
	}
	return false, highest
}

// residentMB returns the resident memory of a process that this program has started.
func residentMB(process int) int {
	status := must(os.ReadFile(fmt.Sprintf("/proc/%d/status", process)))
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes * 1024 / 1_000_000
		}
	}
	return 0
}

// lostOrders counts the orders sent to a machine that ran at an instance and got no answer at all well
// before their deadline.
func (l *lab) lostOrders(machine, instance string) (lost int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	ran := map[string]bool{}
	for _, r := range l.runs {
		ran[r.id] = ran[r.id] || r.instance == instance
	}
	for _, a := range l.answers {
		if a.machine == machine && a.status == 0 && a.kept && ran[a.id] && a.endedAt.Sub(a.sentAt) < 2*time.Second {
			lost++
		}
	}
	return lost
}
