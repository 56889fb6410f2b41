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

// eventName is the form of the names of log events, metricName that of metrics.
var (
	eventName  = regexp.MustCompile(`^[a-z]+\.[a-z_]+$`)
	metricName = regexp.MustCompile(`^lapisvane_[a-z_]+$`)
	// formatted is an event in a line that is written without the logger.
	formatted = regexp.MustCompile(`event=([a-z]+\.[a-z_]+)`)
)

// notDaemons are the parts whose literals are no events or metrics of a daemon: the
// programs of the lab, and the settings, whose keys look like events.
var notDaemons = []string{"lab", "daemon/settings"}

// otherLiterals look like events and are none.
var otherLiterals = map[string]bool{"vcs.revision": true}

// literalsOf returns the string literals of the daemons' code that match a pattern.
func literalsOf(t *testing.T, pattern *regexp.Regexp) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	for _, root := range []string{".", "../platform"} {
		err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			for _, excluded := range notDaemons {
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
				if event := formatted.FindStringSubmatch(text); event != nil {
					text = event[1]
				}
				if err == nil && pattern.MatchString(text) && !otherLiterals[text] {
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

// namesInFirstColumn returns the names in backticks in the first column of the page's
// tables that match a pattern.
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

// OPERATIONS.md lists just the events and the metrics that the code has.
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

// testName is a test or fuzz target as pages name it.
var testName = regexp.MustCompile(`\b(Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9]+\b`)

// testsOf returns the names of the tests of the whole module.
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

// The pages that say which test holds what name tests that exist.
func TestPagesNameTestsThatExist(t *testing.T) {
	tests := testsOf(t)
	for _, page := range []string{"../docs/proofs.md", "../docs/DECISIONS.md", "../docs/ARCHITECTURE.md"} {
		content, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, name := range testName.FindAllString(string(content), -1) {
			assert.Check(t, tests[name], "%s names %s", page, name)
		}
	}
}

// functionName is a function as pages name it: package, dot, function or method.
var functionName = regexp.MustCompile("`([a-z]+)\\.([A-Za-z][a-zA-Z]+)`")

// functionsOf returns the functions and methods of the daemons' packages, as "package.Name".
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

// The pages that lead from a question to the code name functions that exist. A name that
// is an event or a setting as well is left alone.
func TestPagesNameFunctionsThatExist(t *testing.T) {
	functions, packages := functionsOf(t)
	events := literalsOf(t, eventName)
	for _, page := range []string{"../docs/operations/on-call.md", "../docs/DECISIONS.md"} {
		content, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, match := range functionName.FindAllStringSubmatch(string(content), -1) {
			name := match[1] + "." + match[2]
			if packages[match[1]] && !events[name] {
				assert.Check(t, functions[name], "%s names %s", page, name)
			}
		}
	}
}
