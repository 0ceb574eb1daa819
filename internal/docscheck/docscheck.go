// Package docscheck holds pages of docs/ to the code: each page has a table
// that is written from the code's own catalogue, between two marks, and the
// tests compare the two. With the flag -update they rewrite the tables:
//
//	go test ./internal/docscheck -update
package docscheck

import (
	"fmt"
	"strings"
)

// Marks between which a page's table stands.
const (
	beginMark = "<!-- table: written by go test ./internal/docscheck -update -->"
	endMark   = "<!-- end of table -->"
)

// Row is one line of a table.
type Row []string

// Table renders a Markdown table.
func Table(head Row, rows []Row) string {
	var b strings.Builder
	writeRow(&b, head)
	rule := make(Row, len(head))
	for i := range rule {
		rule[i] = "---"
	}
	writeRow(&b, rule)
	for _, r := range rows {
		writeRow(&b, r)
	}
	return b.String()
}

func writeRow(b *strings.Builder, cells Row) {
	b.WriteString("|")
	for _, c := range cells {
		b.WriteString(" " + strings.ReplaceAll(c, "|", `\|`) + " |")
	}
	b.WriteString("\n")
}

// Split returns the parts of a page: up to and with the first mark, the table,
// and from the second mark on.
func Split(page string) (before, table, after string, err error) {
	begin := strings.Index(page, beginMark)
	end := strings.Index(page, endMark)
	if begin < 0 || end < begin {
		return "", "", "", fmt.Errorf("the page lacks the marks %q and %q", beginMark, endMark)
	}
	begin += len(beginMark)
	return page[:begin] + "\n", strings.TrimPrefix(page[begin:end], "\n"), page[end:], nil
}

// Difference lists the lines that only one of the two tables has, "" if they
// are the same.
func Difference(page, code string) string {
	var b strings.Builder
	report(&b, "missing in the page: ", code, page)
	report(&b, "not in the code: ", page, code)
	if b.Len() == 0 && page != code {
		b.WriteString("the order of the lines differs\n")
	}
	return b.String()
}

func report(b *strings.Builder, title, lines, others string) {
	known := make(map[string]bool)
	for l := range strings.SplitSeq(others, "\n") {
		known[l] = true
	}
	for l := range strings.SplitSeq(lines, "\n") {
		if l != "" && !known[l] {
			b.WriteString(title + l + "\n")
		}
	}
}
