package archcheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// versionMakers may make versions from, or take them apart into, an era and a
// revision. All others compare them whole.
var versionMakers = []string{
	"internal/store", "platform",
	"internal/control/routesync/era.go", // the version up to which a lost order is taken back
}

// Guards against an order of revisions that is not that of the eras: after the
// store's return an older object would count as newer.
func TestVersionsAreComparedWhole(t *testing.T) {
	root := filepath.Join("..", "..")
	found := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		uses := splitsVersions(file)
		found += len(uses)
		rel, _ := filepath.Rel(root, path)
		if len(uses) > 0 && !mayMakeVersions(filepath.ToSlash(rel)) {
			t.Errorf("%s takes versions apart: %s", rel, strings.Join(uses, ", "))
		}
		return nil
	})
	if err != nil || found == 0 {
		t.Fatalf("%d uses found: %v", found, err)
	}
}

func mayMakeVersions(path string) bool {
	return slices.ContainsFunc(versionMakers, func(maker string) bool {
		return path == maker || strings.HasPrefix(path, maker+"/")
	})
}

// splitsVersions returns the uses of store.VersionAt and store.RevisionOf, and the
// shifts of what is named a version.
func splitsVersions(file *ast.File) (uses []string) {
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.SelectorExpr:
			if pkg, ok := n.X.(*ast.Ident); ok && pkg.Name == "store" && (n.Sel.Name == "VersionAt" || n.Sel.Name == "RevisionOf") {
				uses = append(uses, "store."+n.Sel.Name)
			}
		case *ast.BinaryExpr:
			if name := nameOf(n.X); (n.Op == token.SHR || n.Op == token.SHL) && strings.HasSuffix(strings.ToLower(name), "version") {
				uses = append(uses, "a shift of "+name)
			}
		}
		return true
	})
	return uses
}

// nameOf returns the last name of an expression, "" if it has none.
func nameOf(x ast.Expr) string {
	switch x := x.(type) {
	case *ast.Ident:
		return x.Name
	case *ast.SelectorExpr:
		return x.Sel.Name
	case *ast.ParenExpr:
		return nameOf(x.X)
	}
	return ""
}
