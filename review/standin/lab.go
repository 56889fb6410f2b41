package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func must[T any](value T, err error) T {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case cannot run:", err)
		exit(exitCannotRun)
	}
	return value
}

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// current is the lab of this process, whose daemons end with it.
var current *lab

func exit(code int) {
	if current != nil {
		current.close()
	}
	os.Exit(code)
}

// lab runs the daemons of a small deployment as processes, with stand-ins of everything else.
type lab struct {
	started  time.Time
	program  string
	folder   string
	trouble  bool
	store    *store
	machines []*machine

	mutex   sync.Mutex
	file    *os.File
	runs    []*run
	answers []answered
	closed  bool
}

// answered is a client's request with its answer.
type answered struct {
	id, machine, tenant string
	sentAt, endedAt     time.Time
	status              int
	body                string
	// kept is true if its connection had carried a request before.
	kept bool
}

// machine is one machine: a daemon, and addresses for its instance.
type machine struct {
	lab                                                 *lab
	name, zone, service                                 string
	peer, outbound, control, ready, metrics, appAddress string
	storeAddress                                        string
	settings                                            string
	startedAt                                           time.Time
	process                                             *exec.Cmd
}

func newLab(program, record string) *lab {
	l := &lab{started: time.Now(), program: program, trouble: os.Getenv("TROUBLE") != "0", store: newStore()}
	current = l
	l.folder = must(os.MkdirTemp("", "review-"))
	l.file = must(os.Create(record))
	l.record("trouble: %v", l.trouble)
	return l
}

// record writes a line to the record of the case.
func (l *lab) record(format string, values ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	fmt.Fprintf(l.file, "%8.3f s  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, values...))
}

// freeAddresses returns addresses with different free ports.
func freeAddresses(ip string, count int) (addresses []string) {
	var listeners []net.Listener
	for range count {
		listener := must(net.Listen("tcp", ip+":0"))
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	for _, listener := range listeners {
		_ = listener.Close()
	}
	return addresses
}

// machineIP returns the loopback address of a machine, which differs between cases that run at the same
// time, so that none takes a port that another one has just found free.
func machineIP(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, 1+os.Getpid()/128%250, number)
}

// addMachine adds a machine with the given extra lines of settings.
func (l *lab) addMachine(name, zone, region, service, extra string) *machine {
	free := freeAddresses(machineIP(len(l.machines)+1), 6)
	m := &machine{
		lab: l, name: name, zone: zone, service: service, peer: free[0], outbound: free[1], control: free[2],
		ready: free[3], metrics: free[4], appAddress: free[5], storeAddress: l.store.serve(name),
	}
	m.settings = filepath.Join(l.folder, name+".yaml")
	lines := []string{
		"node: " + name, "zone: " + zone, "region: " + region,
		`peer_address: "` + m.peer + `"`, `caller_address: "` + m.outbound + `"`, `instance_address: "` + m.control + `"`,
		`readiness_address: "` + m.ready + `"`, `metrics_address: "` + m.metrics + `"`, "service: " + service,
		"platform:", "  form: objects", `  addresses: ["` + m.storeAddress + `"]`, extra,
	}
	must(0, os.WriteFile(m.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	l.machines = append(l.machines, m)
	return m
}

// start starts the daemon with the command of deploy/system.toml.
func (m *machine) start() {
	m.process = exec.Command(m.lab.program, "--settings", m.settings)
	log := must(os.OpenFile(filepath.Join(m.lab.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600))
	m.process.Stdout, m.process.Stderr = log, log
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(0, m.process.Start())
	m.startedAt = time.Now()
	m.lab.record("daemon %s started (process %d)", m.name, m.process.Process.Pid)
}

// kill ends the daemon at once, as a kill of its process does.
func (m *machine) kill() {
	_ = m.process.Process.Signal(syscall.SIGKILL)
	_ = m.process.Wait()
	m.lab.record("daemon %s killed", m.name)
}

// isReady asks the daemon as the platform does.
func (m *machine) isReady() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts all daemons and waits until they are ready.
func (l *lab) startAll() {
	for _, m := range l.machines {
		m.start()
	}
	l.awaitReady()
}

func (l *lab) awaitReady() {
	for _, m := range l.machines {
		for until := time.Now().Add(15 * time.Second); !m.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(until) {
				must(0, fmt.Errorf("daemon %s did not become ready", m.name))
			}
		}
	}
	l.record("all daemons are ready")
}

// killAll kills all daemons at the same moment.
func (l *lab) killAll() {
	for _, m := range l.machines {
		_ = m.process.Process.Signal(syscall.SIGKILL)
	}
	for _, m := range l.machines {
		_ = m.process.Wait()
	}
	l.record("all daemons killed at once")
}

func (l *lab) close() {
	l.mutex.Lock()
	if l.closed {
		l.mutex.Unlock()
		return
	}
	l.closed = true
	l.mutex.Unlock()
	for _, m := range l.machines {
		if m.process != nil && m.process.Process != nil {
			_ = m.process.Process.Kill()
			_ = m.process.Wait()
		}
	}
	_ = l.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.folder)
	} else {
		fmt.Fprintln(os.Stderr, "kept:", l.folder)
	}
}

func (l *lab) addRun(id, instance string) *run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	added := &run{id: id, instance: instance, at: time.Now()}
	l.runs = append(l.runs, added)
	return added
}

func (l *lab) markAnswered(r *run) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r.answered = true
}

// finish writes all requests and runs to the record, and ends with the verdict.
func (l *lab) finish(broken bool, verdict string) {
	l.mutex.Lock()
	for _, a := range l.answers {
		fmt.Fprintf(l.file, "%8.3f s  request %s sent to %s%s; %.3f s: answered %d %s\n", a.sentAt.Sub(l.started).Seconds(), a.id, a.machine, a.tenant, a.endedAt.Sub(l.started).Seconds(), a.status, a.body)
	}
	for _, r := range l.runs {
		fmt.Fprintf(l.file, "%8.3f s  run of request %s at instance %s, answered: %v\n", r.at.Sub(l.started).Seconds(), r.id, r.instance, r.answered)
	}
	l.mutex.Unlock()
	l.record("%s", verdict)
	fmt.Println(verdict)
	if broken {
		exit(exitBroken)
	}
	exit(exitHeld)
}
