// Package layers has the test that keeps decisions apart from the shell.
package layers

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const module = "github.com/hyssopdoor/hyssopdoor/"

// runtimeFolders are the folders that may do I/O, run goroutines and read clocks. All
// other code below internal and pkg decides, and is held to the rules.
var runtimeFolders = []string{
	"internal/experimenter",
	"internal/gen",
	"internal/layers",
	"internal/standalone/runtime",
	"internal/runtime",
	"internal/standin/engine",
	"internal/standin/launcher",
	"internal/standin/objectserver",
	"internal/standin/replier",
	"internal/standin/service",
	"internal/workload",
	"pkg/clock",
}

// allowed are what decisions may import, besides each other.
var allowed = []string{
	"cmp", "container/heap", "crypto/hmac", "crypto/sha256", "encoding/binary", "encoding/hex", "encoding/json", "fmt", "maps",
	"math", "math/bits", "math/rand/v2", "slices", "strconv", "strings",
	"github.com/cespare/xxhash/v2", "github.com/go-faster/errors",
	module + "internal/gen/peerv1", module + "internal/standalone/runtime/inireader", module + "pkg/clock",
}

// globalRandom are the functions of math/rand/v2 that use a global source.
var globalRandom = []string{"Int", "IntN", "Int64", "Int64N", "Uint32", "Uint64", "Float64", "Perm", "Shuffle", "N"}

func TestDecisionsDoNoInputOrOutput(t *testing.T) {
	root := filepath.Join("..", "..")
	checked := 0
	for _, top := range []string{"internal", "pkg"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, entry fs.DirEntry, err error) error {
			require.NoError(t, err)
			relative, err := filepath.Rel(root, path)
			require.NoError(t, err)
			folder := filepath.ToSlash(filepath.Dir(relative))
			if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || inRuntime(folder) {
				return nil
			}
			checked++
			checkFile(t, path)
			return nil
		})
		require.NoError(t, err)
	}
	require.Greater(t, checked, 40, "the walk must have found the decision packages")
}

func inRuntime(folder string) bool {
	return slices.ContainsFunc(runtimeFolders, func(s string) bool { return folder == s || strings.HasPrefix(folder, s+"/") })
}

func checkFile(t *testing.T, path string) {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, 0)
	require.NoError(t, err)
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		require.NoError(t, err)
		own, isOwn := strings.CutPrefix(name, module)
		assert.True(t, slices.Contains(allowed, name) || (isOwn && !inRuntime(own)), "%s imports %s", path, name)
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.GoStmt, *ast.SelectStmt, *ast.ChanType:
			assert.Fail(t, "concurrency in a decision", "%s", files.Position(node.Pos()))
		case *ast.SelectorExpr:
			checkSelector(t, files, node)
		}
		return true
	})
}

func checkSelector(t *testing.T, files *token.FileSet, selector *ast.SelectorExpr) {
	t.Helper()
	name, ok := selector.X.(*ast.Ident)
	if ok && name.Name == "rand" {
		assert.False(t, slices.Contains(globalRandom, selector.Sel.Name), "global random source at %s", files.Position(selector.Pos()))
	}
}
