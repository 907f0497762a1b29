package member

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventMemberChanged    = event.New(4100, zerolog.InfoLevel, "member_changed", "The state of another process changed in this process's view. No action is needed.")
	eventSuspicionChanged = event.New(4105, zerolog.DebugLevel, "member_doubted", "Another process did not answer pings and is suspect, or answers again. No action is needed.")
	eventLeaseFailed      = event.New(4101, zerolog.WarnLevel, "lease_failed", "The lease row could not be renewed. Membership continues with pings; check the table service if this persists.")
	eventLeaseSuperseded  = event.New(4102, zerolog.ErrorLevel, "lease_superseded", "A process with the same id that was started later holds the lease row. Stop one of the two.")
	eventListFailed       = event.New(4103, zerolog.WarnLevel, "member_list_failed", "The lease rows could not be listed. Known members remain in use.")
	eventVMListFailed     = event.New(4104, zerolog.WarnLevel, "vm_list_failed", "The platform's list of VMs could not be read. The last known list remains in use.")
)
