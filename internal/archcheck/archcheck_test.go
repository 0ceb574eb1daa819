// Package archcheck holds the decision packages to their promise: they do no
// I/O and read no global clock and no global source of random numbers, so that
// they run the same in real time and in virtual time.
package archcheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const modulePath = "lynxhill.example/lynxhill/"

// decisionPackages are checked with all packages below them.
var decisionPackages = []string{
	"internal/board", "internal/profile", "internal/admission", "internal/routing",
	"internal/claim", "internal/outcome", "internal/membership", "internal/control",
	"internal/pipeline", "internal/gossip", "internal/store", "internal/stagecall",
	"internal/crashguard", "internal/slo", "internal/serving", "internal/route", "internal/fleet", "internal/allowance", "internal/notice", "internal/streamorigin",
}

// telemetryPackages may be imported by decision packages although they import
// net/http themselves: they only publish what they are given.
var telemetryPackages = map[string]bool{
	modulePath + "internal/metrics": true,
	modulePath + "internal/event":   true,
}

var forbiddenImports = map[string]string{
	"net":       "I/O",
	"net/http":  "I/O",
	"os":        "I/O",
	"os/exec":   "starts processes",
	"syscall":   "I/O",
	"math/rand": "global source of random numbers",
}

// forbiddenUses are functions that read the global clock or global source.
var forbiddenUses = map[string]map[string]bool{
	"time":         set("Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"),
	"math/rand/v2": set("Int", "IntN", "Int64", "Int64N", "Uint32", "Uint64", "Float64", "Perm", "Shuffle", "N", "ExpFloat64", "NormFloat64"),
}

func set(names ...string) map[string]bool {
	s := make(map[string]bool, len(names))
	for _, name := range names {
		s[name] = true
	}
	return s
}

// TestDecisionPackagesDoNoIO walks the decision packages and everything of
// this module that they import.
func TestDecisionPackagesDoNoIO(t *testing.T) {
	root := filepath.Join("..", "..")
	checked := make(map[string]bool)
	queue := decisionDirs(t, root)
	for len(queue) > 0 {
		dir := queue[0]
		queue = queue[1:]
		if checked[dir] {
			continue
		}
		checked[dir] = true
		queue = append(queue, checkDir(t, root, dir)...)
	}
	if len(checked) < len(decisionPackages) {
		t.Fatalf("checked only %d packages", len(checked))
	}
}

// TestProductImportsNoPlatform: the product's packages know neither the code
// that translates one platform's names, nor that platform's emulator. Whoever
// imports them ties a decision to one deployment, and it shows as a change of the
// product for each change of the platform. The daemon's command puts both
// together.
func TestProductImportsNoPlatform(t *testing.T) {
	root := filepath.Join("..", "..")
	files := 0
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		files++
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			imported, _ := strconv.Unquote(spec.Path.Value)
			for _, kept := range []string{"platform", "deploy"} {
				if imported == modulePath+kept || strings.HasPrefix(imported, modulePath+kept+"/") {
					t.Errorf("%s imports %s", path, imported)
				}
			}
		}
		return nil
	})
	if err != nil || files == 0 {
		t.Fatalf("%d files checked: %v", files, err)
	}
}

func decisionDirs(t *testing.T, root string) []string {
	t.Helper()
	var dirs []string
	for _, pkg := range decisionPackages {
		err := filepath.WalkDir(filepath.Join(root, pkg), func(path string, d fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if d.IsDir() && d.Name() != "testdata" {
				rel, _ := filepath.Rel(root, path)
				dirs = append(dirs, filepath.ToSlash(rel))
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return dirs
}

// checkDir checks the files of one package that are not tests and returns the
// directories of this module that they import.
func checkDir(t *testing.T, root, dir string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var imported []string
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		imported = append(imported, checkFile(t, name, file)...)
	}
	return imported
}

func checkFile(t *testing.T, name string, file *ast.File) []string {
	t.Helper()
	var imported []string
	local := make(map[string]string) // name in the file -> import path
	for _, spec := range file.Imports {
		path, _ := strconv.Unquote(spec.Path.Value)
		if why, bad := forbiddenImports[path]; bad {
			t.Errorf("%s imports %s: %s", name, path, why)
		}
		if strings.HasPrefix(path, modulePath) && !telemetryPackages[path] {
			imported = append(imported, strings.TrimPrefix(path, modulePath))
		}
		local[localName(spec, path)] = path
	}
	ast.Inspect(file, func(n ast.Node) bool {
		sel, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		ident, ok := sel.X.(*ast.Ident)
		if ok && ident.Obj == nil && forbiddenUses[local[ident.Name]][sel.Sel.Name] {
			t.Errorf("%s uses %s.%s", name, ident.Name, sel.Sel.Name)
		}
		return true
	})
	return imported
}

func localName(spec *ast.ImportSpec, path string) string {
	if spec.Name != nil {
		return spec.Name.Name
	}
	if path == "math/rand/v2" {
		return "rand"
	}
	return path[strings.LastIndex(path, "/")+1:]
}
