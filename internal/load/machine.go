package load

import (
	"bufio"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
)

// commitLength is the number of digits of a commit that are shown.
const commitLength = 12

// describeMachine describes the machine of the run.
func describeMachine() string {
	text := fmt.Sprintf("%s/%s, %d cores", runtime.GOOS, runtime.GOARCH, runtime.NumCPU())
	if kib := totalMemory(); kib > 0 {
		text += fmt.Sprintf(", %d GiB", (kib+(1<<19))>>20)
	}
	return text
}

// totalMemory returns the memory of the machine in KiB, or 0 if it is not known.
func totalMemory() (kib int64) {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0
	}
	defer f.Close()
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		if n, _ := fmt.Sscanf(scanner.Text(), "MemTotal: %d kB", &kib); n == 1 {
			return kib
		}
	}
	return 0
}

// buildCommit returns the commit that the program was built from.
func buildCommit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	var revision, modified string
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(len(s.Value), commitLength)]
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = " with changes"
		}
	}
	return strings.TrimSpace(revision + modified)
}
