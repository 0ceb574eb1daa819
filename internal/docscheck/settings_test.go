package docscheck

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"lynxhill.example/lynxhill/internal/config"
)

func page(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "..", "docs", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// TestSettingsPageListsEveryKeyWithItsDefault walks through the settings.
func TestSettingsPageListsEveryKeyWithItsDefault(t *testing.T) {
	text := page(t, "operators/settings.md")
	keys := 0
	walk("", reflect.ValueOf(config.Default()), func(key, value string) {
		keys++
		if row := fmt.Sprintf("| `%s` | `%s` |", key, value); !strings.Contains(text, row) {
			t.Errorf("docs/operators/settings.md lacks the row %s", row)
		}
	})
	if rows := strings.Count(text, "\n| `"); rows != keys {
		t.Errorf("docs/operators/settings.md has %d rows of keys, the settings have %d keys", rows, keys)
	}
}

func walk(prefix string, v reflect.Value, visit func(key, value string)) {
	for i := range v.NumField() {
		key := prefix + v.Type().Field(i).Tag.Get("toml")
		field := v.Field(i)
		duration, isDuration := field.Interface().(config.Duration)
		switch {
		case isDuration:
			visit(key, duration.String())
		case field.Kind() == reflect.Struct:
			walk(key+".", field, visit)
		case field.Kind() == reflect.Slice:
			visit(key, "[]")
		case field.Kind() == reflect.String:
			visit(key, strconv.Quote(field.String()))
		default:
			visit(key, fmt.Sprint(field.Interface()))
		}
	}
}

// TestAPIPageNamesEveryPathAndMessageField reads the constants and the JSON
// names from the source of package lynxapi.
func TestAPIPageNamesEveryPathAndMessageField(t *testing.T) {
	text := page(t, "API.md")
	for _, name := range []string{"caller.go", "admin.go"} {
		path := filepath.Join("..", "wire", "lynxapi", name)
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.ValueSpec:
				checkNamed(t, text, literal(t, n.Values[0]))
			case *ast.Field:
				if n.Tag != nil {
					jsonName, _, _ := strings.Cut(reflect.StructTag(literal(t, n.Tag)).Get("json"), ",")
					checkNamed(t, text, jsonName)
				}
			}
			return true
		})
	}
}

func literal(t *testing.T, e ast.Expr) string {
	t.Helper()
	text, err := strconv.Unquote(e.(*ast.BasicLit).Value)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func checkNamed(t *testing.T, page, name string) {
	t.Helper()
	if !strings.Contains(page, "`"+name+"`") && !strings.Contains(page, "`"+name+" ") {
		t.Errorf("docs/API.md does not name `%s`", name)
	}
}
