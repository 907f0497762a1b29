package back

// Startup parameters that carry the purpose and the claim of a connection.
const (
	// ParamControl marks a control connection if it is "1". Control connections use
	// connections reserved in addition to the connection limit.
	ParamControl = "rattancove.control"
	// ParamEpoch carries the home epoch of a data connection.
	ParamEpoch = "rattancove.epoch"
	// ParamHome carries the ID of the home that claims the epoch.
	ParamHome = "rattancove.home"
)

// Functions of the control protocol. Each is called as SELECT name(...) and
// returns one row with one text column: a position in the form term/offset for
// FuncPosition, a cluster.ServerStatus in JSON for the others.
const (
	FuncStatus   = "rattan_status"
	FuncPosition = "rattan_position"
	FuncClaim    = "rattan_claim"
	FuncSeal     = "rattan_seal"
	FuncPromote  = "rattan_promote"
	FuncFollow   = "rattan_follow"
)

// SQLSTATEs that the adapter handles.
const (
	// SQLStateSuperseded reports that a data connection was closed or refused, or
	// a claim refused, because its epoch is lower than the highest claim that the
	// server has accepted. The detail field names the home of that claim.
	SQLStateSuperseded = "57R01"
	// SQLStateRefused reports that a control call conflicts with the server's term,
	// epoch or holder. Nothing changed.
	SQLStateRefused = "55R10"
	// SQLStateReadOnly reports a write on a server that is not the primary.
	SQLStateReadOnly = "25006"
	// SQLStateUniqueViolation reports a duplicate key.
	SQLStateUniqueViolation = "23505"
)
