package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
)

// headerNames returns the names of the platform's headers by the constants of the package
// that holds them. They are read from its source, since they stand nowhere else.
func headerNames() (map[string]string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), "platform/doc.go", nil, 0)
	if err != nil {
		return nil, err
	}
	names := make(map[string]string)
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		for i, name := range spec.Names {
			if i >= len(spec.Values) {
				break
			}
			if value, ok := spec.Values[i].(*ast.BasicLit); ok && value.Kind == token.STRING {
				if text, err := strconv.Unquote(value.Value); err == nil {
					names[name.Name] = text
				}
			}
		}
		return true
	})
	if len(names) == 0 {
		return nil, fmt.Errorf("no header names found")
	}
	return names, nil
}
