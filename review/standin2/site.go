package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
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

// Ports of every machine; each machine has a loopback address of its own.
const (
	portPeer, portReady, portControl, portMetrics, portOutbound, portApp = 27380, 27141, 27144, 27464, 27147, 27145
)

// The last numbers of the machines' addresses.
const firstMachine, maxMachines = 10, 6

// record writes lines to record.txt.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// site is a small deployment: a store, machines with a daemon and an instance each.
type site struct {
	root, work string
	subnet     string
	store      *store
	machines   []*machine
	record     *record
	ledger     *ledger
}

// machine is one machine of class sidecar.
type machine struct {
	site    *site
	name    string
	zone    string
	ip      string
	service string
	command *exec.Cmd
	exited  chan struct{}
	extra   string
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		cleanUp()
		os.Exit(2)
	}
}

var running []*exec.Cmd
var runningMutex sync.Mutex
var workFolder string

// cleanUp ends all processes that were started.
func cleanUp() {
	runningMutex.Lock()
	defer runningMutex.Unlock()
	for _, command := range running {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
	}
	for _, command := range running {
		_, _ = command.Process.Wait()
	}
	if workFolder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(workFolder)
	}
}

// newSite starts the store and prepares machines, each with the service at its index in services.
func newSite(root, recordPath string, services []string) *site {
	file, err := os.Create(recordPath)
	check(err)
	work, err := os.MkdirTemp("", "review2-")
	check(err)
	workFolder = work
	s := &site{root: root, work: work, record: &record{file: file, began: time.Now()}, ledger: newLedger()}
	s.subnet = freeSubnet()
	s.store = startStore(s.subnet + ".1:0")
	zones := []string{"perth-a", "perth-b", "perth-c", "perth-d"}
	for index, service := range services {
		s.machines = append(s.machines, &machine{
			site: s, name: fmt.Sprintf("sidecar-%s-%d", zones[index%4], index), zone: zones[index%4],
			ip: fmt.Sprintf("%s.%d", s.subnet, firstMachine+index), service: service,
		})
	}
	return s
}

// freeSubnet returns a part of the loopback range at which none of the ports is in use.
func freeSubnet() string {
	for range 100 {
		subnet := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if isFree(subnet) {
			return subnet
		}
	}
	check(fmt.Errorf("no free loopback addresses"))
	return ""
}

func isFree(subnet string) bool {
	for index := range maxMachines {
		for _, port := range []int{portPeer, portReady, portControl, portMetrics, portOutbound, portApp} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, firstMachine+index, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settings returns what deploy/settings.yaml.template gives for a small deployment.
func (m *machine) settings() string {
	return fmt.Sprintf(`zone: %q
region: "perth"
peer_address: %q
caller_address: %q
instance_address: %q
readiness_address: %q
metrics_address: %q
service: %q
platform:
  form: objects
  addresses: [%q]
  reads_per_second: 2000
  writes_per_second: 400
  contact: "3000ms"
  apply_bound: "2000ms"
retries:
  fraction: 0.2
  burst: 64
  window: "10s"
link_mbit: 1000
memory_mb: 284
max_descriptors: 4100
stop_limit: "6s"
%snode: %q
`, m.zone, m.at(portPeer), m.at(portOutbound), m.at(portControl), m.at(portReady), m.at(portMetrics), m.service,
		m.site.store.address, m.extra, m.name)
}

// start starts the daemon with the command of the deploy file.
func (m *machine) start() {
	folder := filepath.Join(m.site.work, m.name)
	check(os.MkdirAll(folder, 0o755))
	path := filepath.Join(folder, "local.toml")
	check(os.WriteFile(path, []byte(m.settings()), 0o644))
	output, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	command := exec.Command(filepath.Join(m.site.root, "target/lapisvaned"), "--settings", path)
	command.Dir, command.Stdout, command.Stderr = m.site.root, output, output
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LAPISVANE_SETTINGS=" + path}
	check(command.Start())
	exited := make(chan struct{})
	runningMutex.Lock()
	running = append(running, command)
	runningMutex.Unlock()
	m.command, m.exited = command, exited
	go func() { _, _ = command.Process.Wait(); close(exited) }()
	m.site.record.line("daemon %s started pid=%d", m.name, command.Process.Pid)
}

func (m *machine) signal(which syscall.Signal) {
	m.site.record.line("daemon %s gets %s", m.name, which)
	_ = m.command.Process.Signal(which)
}

func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.at(portReady) + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (s *site) awaitReady() {
	deadline := time.Now().Add(25 * time.Second)
	for _, m := range s.machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				check(fmt.Errorf("daemon %s is not ready", m.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.record.line("all daemons are ready")
}

// log returns the output of a daemon.
func (m *machine) log() string {
	content, _ := os.ReadFile(filepath.Join(m.site.work, m.name, "log"))
	return string(content)
}

// route is one route of the operator's configuration.
type route struct {
	name, prefix, kind, service string
	timeout, target, attempts   int
	priority                    int
}

const host = "ficu95.example"

// configure writes a version of the configuration.
func (s *site) configure(version int, services []string, routes []route) {
	serviceRows, routeRows := [][]any{}, [][]any{}
	for _, service := range services {
		serviceRows = append(serviceRows, []any{service, "/health", 130})
	}
	for _, r := range routes {
		routeRows = append(routeRows, []any{r.name, host, r.prefix, r.kind, r.service, r.timeout, r.target, r.priority, r.attempts})
	}
	s.store.operatorPut("config", "main", map[string]any{
		"version":  version,
		"routes":   map[string]any{"columns": []string{"name", "host", "path-prefix", "route-type", "service", "timeout-ms", "target-latency-ms", "priority", "max-attempts"}, "rows": routeRows},
		"services": map[string]any{"columns": []string{"name", "health-check-path", "max-connections"}, "rows": serviceRows},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 10000000, "header-timeout-ms": 5000, "idle-timeout-ms": 60000},
	})
	s.record.line("configuration %d written", version)
}

// finish prints the verdict, ends everything and exits.
func (s *site) finish(broken []string) {
	for _, line := range broken {
		s.record.line("BROKEN %s", line)
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", s.work)
	}
	for _, m := range s.machines {
		if strings.Contains(m.log(), "panic") {
			s.record.line("the log of %s names a panic", m.name)
		}
	}
	cleanUp()
	if len(broken) > 0 {
		s.record.line("verdict: the rule was broken, %d times", len(broken))
		fmt.Printf("broken: %d, the first: %s\n", len(broken), broken[0])
		os.Exit(1)
	}
	s.record.line("verdict: the rule held")
	fmt.Println("held")
	os.Exit(0)
}

// trouble reports whether the disruption is to be made.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }
