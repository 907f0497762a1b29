package load

import (
	"bufio"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
)

// commitLength is the number of hex digits to which a commit id is shortened.
const commitLength = 12

// describeMachine returns the platform, core count and memory of this machine.
func describeMachine() string {
	text := fmt.Sprintf("%s/%s, %d cores", runtime.GOOS, runtime.GOARCH, runtime.NumCPU())
	if kib := totalMemory(); kib > 0 {
		text += fmt.Sprintf(", %d GiB", (kib+(1<<19))>>20)
	}
	return text
}

// totalMemory returns the memory of the machine in KiB, or 0 if it is unknown.
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

// buildCommit returns the VCS revision that the program was built from.
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
