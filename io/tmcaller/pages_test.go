package tmcaller

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against error codes without an HTTP status, and against a table of codes
// in docs/API.md that differs from statusOf.
func TestCodesInPage(t *testing.T) {
	source, err := os.ReadFile("../../core/tmrequest/error.go")
	assert.NilError(t, err)
	codes := map[string]string{}
	for _, m := range regexp.MustCompile(`Code = "(\w+)"`).FindAllStringSubmatch(string(source), -1) {
		codes[m[1]] = ""
	}
	assert.Equal(t, len(codes), len(statusOf), "every code needs a status")
	for code, status := range statusOf {
		codes[string(code)] = strconv.Itoa(status)
	}
	page, err := os.ReadFile("../../docs/API.md")
	assert.NilError(t, err)
	_, section, ok := strings.Cut(string(page), "\n### Errors\n")
	assert.Assert(t, ok, "docs/API.md has no section Errors")
	section, _, _ = strings.Cut(section, "\n### ")
	documented := map[string]string{}
	for _, m := range regexp.MustCompile("(?m)^\\| `(\\w+)` \\| (\\d+) \\|").FindAllStringSubmatch(section, -1) {
		documented[m[1]] = m[2]
	}
	assert.DeepEqual(t, documented, codes)
}
