package internal_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// eventName matches the names of log events, metricName those of metrics.
var (
	eventName  = regexp.MustCompile(`^[a-z]+\.[a-z_]+$`)
	metricName = regexp.MustCompile(`^lapisvane_[a-z_]+$`)
	// formattedEvent matches an event in a log line that is written without the logger.
	formattedEvent = regexp.MustCompile(`event=([a-z]+\.[a-z_]+)`)
)

// excludedPaths are directories whose string literals are not events or metrics of a daemon: the
// programs of the lab, and the settings, whose keys look like events.
var excludedPaths = []string{"lab", "daemon/settings"}

// nonEventLiterals are literals that match eventName without being events.
var nonEventLiterals = map[string]bool{"vcs.revision": true}

// literalsOf returns the string literals of the daemon's code that match a pattern.
func literalsOf(t *testing.T, pattern *regexp.Regexp) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	for _, root := range []string{".", "../platform"} {
		err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			for _, excluded := range excludedPaths {
				if filepath.ToSlash(name) == excluded {
					return filepath.SkipDir
				}
			}
			if entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
				return nil
			}
			file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(node ast.Node) bool {
				literal, ok := node.(*ast.BasicLit)
				if !ok || literal.Kind != token.STRING {
					return true
				}
				text, err := strconv.Unquote(literal.Value)
				if event := formattedEvent.FindStringSubmatch(text); event != nil {
					text = event[1]
				}
				if err == nil && pattern.MatchString(text) && !nonEventLiterals[text] {
					found[text] = true
				}
				return true
			})
			return nil
		})
		assert.NilError(t, err)
	}
	return found
}

// namesInFirstColumn returns the names in the first column of the page's tables that match
// a pattern. Backticks and commas separate names.
func namesInFirstColumn(t *testing.T, page string, pattern *regexp.Regexp) map[string]bool {
	t.Helper()
	content, err := os.ReadFile(page)
	assert.NilError(t, err)
	names := map[string]bool{}
	for line := range strings.Lines(string(content)) {
		if !strings.HasPrefix(line, "| ") {
			continue
		}
		first, _, _ := strings.Cut(line[2:], " | ")
		for _, name := range strings.Fields(strings.NewReplacer("`", " ", ",", " ").Replace(first)) {
			if pattern.MatchString(name) {
				names[name] = true
			}
		}
	}
	return names
}

// OPERATIONS.md must list exactly the events and metrics of the code.
func TestOperationsPageListsEventsAndMetrics(t *testing.T) {
	for kind, pattern := range map[string]*regexp.Regexp{"event": eventName, "metric": metricName} {
		inCode := literalsOf(t, pattern)
		onPage := namesInFirstColumn(t, "../docs/OPERATIONS.md", pattern)
		assert.Assert(t, len(inCode) > 0 && len(onPage) > 0)
		for name := range inCode {
			assert.Check(t, onPage[name], "%s %s is not on the page", kind, name)
		}
		for name := range onPage {
			assert.Check(t, inCode[name], "the page lists %s %s, which the code does not have", kind, name)
		}
	}
}

// testName matches the name of a test, fuzz target or benchmark.
var testName = regexp.MustCompile(`\b(Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9]+\b`)

// testsOf returns the names of all functions in the test files of internal, platform and api.
func testsOf(t *testing.T) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	for _, root := range []string{".", "../platform", "../api"} {
		err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(name, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			for _, declaration := range file.Decls {
				if function, ok := declaration.(*ast.FuncDecl); ok {
					found[function.Name.Name] = true
				}
			}
			return nil
		})
		assert.NilError(t, err)
	}
	return found
}

// The tests that the pages name must exist.
func TestPagesNameTestsThatExist(t *testing.T) {
	tests := testsOf(t)
	for _, page := range []string{"../docs/proofs.md", "../docs/DECISIONS.md", "../docs/ARCHITECTURE.md", "../docs/operations/process-ends.md"} {
		content, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, name := range testName.FindAllString(string(content), -1) {
			assert.Check(t, tests[name], "%s names %s, which does not exist", page, name)
		}
	}
}

// functionName matches a function or method on a page: package, dot and name, in backticks.
var functionName = regexp.MustCompile("`([a-z]+)\\.([A-Za-z][a-zA-Z]+)`")

// functionsOf returns the functions and methods of the packages in internal and platform, as
// "package.Name", and the names of the packages.
func functionsOf(t *testing.T) (functions, packages map[string]bool) {
	t.Helper()
	functions, packages = map[string]bool{}, map[string]bool{}
	for _, root := range []string{".", "../platform"} {
		err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			packages[file.Name.Name] = true
			for _, declaration := range file.Decls {
				if function, ok := declaration.(*ast.FuncDecl); ok {
					functions[file.Name.Name+"."+function.Name.Name] = true
				}
			}
			return nil
		})
		assert.NilError(t, err)
	}
	return functions, packages
}

// The functions that the pages name must exist. Names that are also events or settings are not checked.
func TestPagesNameFunctionsThatExist(t *testing.T) {
	functions, packages := functionsOf(t)
	events := literalsOf(t, eventName)
	for _, page := range []string{"../docs/operations/on-call.md", "../docs/DECISIONS.md"} {
		content, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, match := range functionName.FindAllStringSubmatch(string(content), -1) {
			name := match[1] + "." + match[2]
			if packages[match[1]] && !events[name] {
				assert.Check(t, functions[name], "%s names %s, which does not exist", page, name)
			}
		}
	}
}
