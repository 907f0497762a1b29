package back

// Startup parameters by which a connection states its purpose and its claim.
const (
	// ParamControl marks a control connection when it is "1". Control
	// connections have places of their own beyond the connection limit.
	ParamControl = "rattancove.control"
	// ParamEpoch carries the home epoch of a data connection.
	ParamEpoch = "rattancove.epoch"
	// ParamHome carries the home that claims the epoch.
	ParamHome = "rattancove.home"
)

// Functions of the control protocol. Each is called as SELECT name(...) and
// answers one row with one text column: a position in the form term/offset for
// FuncPosition, a cluster.ServerStatus in JSON for the others.
const (
	FuncStatus   = "rattan_status"
	FuncPosition = "rattan_position"
	FuncClaim    = "rattan_claim"
	FuncSeal     = "rattan_seal"
	FuncPromote  = "rattan_promote"
	FuncFollow   = "rattan_follow"
)

// SQLSTATEs that the adapter acts on.
const (
	// SQLStateSuperseded ends or refuses a data connection whose epoch is lower
	// than the highest claim that the server has accepted, and refuses a claim
	// for the same reason. The detail field names the home of that claim.
	SQLStateSuperseded = "57R01"
	// SQLStateRefused answers a control call that the server's term, epoch or
	// holder forbids. Nothing changed.
	SQLStateRefused = "55R10"
	// SQLStateReadOnly answers a write on a server that is not the primary.
	SQLStateReadOnly = "25006"
	// SQLStateUniqueViolation answers a duplicate key.
	SQLStateUniqueViolation = "23505"
)
