package layers

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// platformNames matches the header fields, paths and settings keys of the users'
// platform.
var platformNames = regexp.MustCompile(`(?i)x-hyssopdoor-(attempt|deadline|model|token|prompt|target|tenant|cache|request-priority|expected|weight|not-executed|response|instance|kv|pin|hold|length)|/hyssopdoor/(ready|report|order|objects|kv-|hold-)|HYSSOPDOOR_NODE_FILE|"(node_name|machine_class|limits\.memory_mb|bounds\.\w+|path_prefix|traffic_split|uncached_tokens|api_keys|target_latency_ms|kv_capacity_tokens)"`)

// TestPlatformNamesStayInTheirFolder verifies that only platform/ and deploy/ contain
// names of the users' platform, and that no package below internal or pkg imports
// platform/.
func TestPlatformNamesStayInTheirFolder(t *testing.T) {
	root := filepath.Join("..", "..")
	checked := 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		require.NoError(t, err)
		relative, err := filepath.Rel(root, path)
		require.NoError(t, err)
		relative = filepath.ToSlash(relative)
		if entry.IsDir() {
			if strings.HasPrefix(relative, ".git") || relative == "platform" || relative == "deploy" || relative == "journal" || relative == "target" {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || relative == "internal/layers/names_test.go" {
			return nil
		}
		checked++
		text := readFile(t, path)
		assert.Empty(t, platformNames.FindString(text), "%s contains a name of the users' platform", relative)
		if strings.HasPrefix(relative, "internal/") || strings.HasPrefix(relative, "pkg/") {
			assert.NotContains(t, text, `"`+module+`platform"`, "%s imports the platform's adapter", relative)
		}
		return nil
	})
	require.NoError(t, err)
	require.Greater(t, checked, 200, "the test must find the project's files")
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(data)
}
