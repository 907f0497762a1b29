package integration

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"strings"
	"time"
)

// checkVersions polls a process and checks that it never reverts to an older
// configuration, and that a new one is in force within configBound unless the process
// or the store was disturbed.
func (e *soakEdge) checkVersions(ctx context.Context) {
	seen, seenStarts := 0, 0
	for ctx.Err() == nil {
		sleep(ctx, 100*time.Millisecond)
		starts, undisturbed := e.disturbance()
		if starts != seenStarts {
			seen, seenStarts = 0, starts
		}
		s := e.soak
		s.mu.Lock()
		newest, configuredAt, storeDisturbedAt := s.version, s.configuredAt, s.storeDisturbedAt
		s.mu.Unlock()
		for version := newest; version >= max(seen-2, 1); version-- {
			served, known := e.servesDatabase(versionDatabase(version))
			if now, _ := e.disturbance(); !known || now != starts {
				break
			}
			late := version == newest && time.Since(configuredAt) > configBound && undisturbed > undisturbedTime+configBound && time.Since(storeDisturbedAt) > undisturbedTime+configBound
			switch {
			case served && version < seen-1:
				s.history.addViolation("configurations never revert", "%s serves version %d again after %d", e.name, version, seen)
			case served:
				seen = max(seen, version)
			case version == seen:
				s.mu.Lock()
				dropped := s.version >= version+2
				s.mu.Unlock()
				if !dropped {
					s.history.addViolation("configurations never revert", "%s does not serve version %d, which it has served", e.name, version)
				}
			case late && e.inRotation.Load():
				s.history.addViolation("configurations in force in time", "%s does not serve version %d after %v", e.name, version, time.Since(configuredAt))
			}
		}
	}
}

// servesDatabase reports whether the process serves a database; known is false if it
// gives no answer.
func (e *soakEdge) servesDatabase(database string) (served, known bool) {
	conn, err := net.DialTimeout("tcp", e.callers, time.Second)
	if err != nil {
		return false, false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(conn, "STARTUP "+database+" "+cmp.Or(e.soak.probeKey(), "probe")+"\r\n"); err != nil {
		return false, false
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return false, false
	}
	served, refused := strings.HasPrefix(answer, "READY"), strings.HasPrefix(answer, "ERROR NODB")
	return served, cmp.Or(served, refused)
}
