package front

import (
	"errors"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/session"
	"github.com/rattancove/rattancove/internal/sqlclass"
	"github.com/rattancove/rattancove/internal/statement"
)

// Names of the options that a caller sets in startup parameters, with SET or in a
// comment, without the prefix sqlclass.HintPrefix.
const (
	OptionRank      = "rank"
	OptionFreshness = "freshness"
	OptionSession   = "session"
	OptionOrderID   = "order_id"
	OptionToken     = "token"
)

// Freshness modes that are not an age or a kind of read in the document.
const (
	freshnessSession = "session"
	freshnessLatest  = "latest"
)

var (
	errConflictingOrderIDs = errors.New("the statements of one batch have different order ids")
	errLateOrderID         = &sqlError{
		sqlState: "25001",
		message:  "the order id must be given before or with the statement that opens the transaction block",
	}
)

// maxNameBytes is the maximum length of session names and order ids.
const maxNameBytes = 128

// options are the options of a session. They apply to statements that do not set
// their own.
type options struct {
	rank           cluster.Rank
	freshness      statement.Freshness
	freshnessValue string
}

func defaultOptions() options {
	return options{rank: cluster.RankNormal, freshnessValue: freshnessSession}
}

// setOption sets a session option. An empty value resets it to its initial value.
func (c *caller) setOption(name, value string) error {
	switch name {
	case OptionRank:
		return c.setRank(value)
	case OptionFreshness:
		return c.setFreshness(value)
	case OptionSession:
		if err := checkName(name, value); err != nil {
			return err
		}
		c.session.SetName(value)
		return nil
	case OptionOrderID:
		if c.txStatus != txIdle {
			return errLateOrderID
		}
		if err := checkName(name, value); err != nil {
			return err
		}
		c.nextOrderID = value
		return nil
	case OptionToken:
		p, err := session.ParseToken(c.group, value)
		if err != nil {
			return invalidOption(name, value, err)
		}
		c.session.RaiseFloor(p)
		return nil
	default:
		return unknownOption(name)
	}
}

func (c *caller) setRank(value string) error {
	if value == "" {
		c.options.rank = c.startupOptions.rank
		return nil
	}
	rank, err := cluster.ParseRank(value)
	if err != nil {
		return invalidOption(OptionRank, value, err)
	}
	c.options.rank = rank
	return nil
}

func (c *caller) setFreshness(value string) error {
	if value == "" {
		c.options.freshness = c.startupOptions.freshness
		c.options.freshnessValue = c.startupOptions.freshnessValue
		return nil
	}
	f, err := ParseFreshness(c.server.directory, value)
	if err != nil {
		return err
	}
	c.options.freshness = f
	c.options.freshnessValue = value
	return nil
}

// ParseFreshness parses "session", "latest", an age such as "1s", or the name of a
// kind of read in the document.
func ParseFreshness(directory Directory, value string) (statement.Freshness, error) {
	if f, ok := directory.Freshness(value); ok {
		return f, nil
	}
	switch value {
	case freshnessSession:
		return statement.Freshness{Mode: statement.FreshnessSession}, nil
	case freshnessLatest:
		return statement.Freshness{Mode: statement.FreshnessLatest}, nil
	}
	age, err := time.ParseDuration(value)
	if err != nil || age < 0 {
		return statement.Freshness{}, invalidOption(OptionFreshness, value, err)
	}
	return statement.Freshness{Mode: statement.FreshnessBounded, MaxAge: age}, nil
}

// checkName checks a name that other processes get, which must be valid UTF-8.
func checkName(option, value string) error {
	if len(value) > maxNameBytes {
		return invalidOption(option, strconv.Itoa(len(value))+" bytes", nil)
	}
	if !utf8.ValidString(value) {
		return invalidOption(option, value, nil)
	}
	return nil
}

// requestOptions are the options of one request.
type requestOptions struct {
	options
	session     string
	hasSession  bool
	orderID     string
	token       cluster.Position
	traceParent string
}

// resolveOptions combines the session's options with those in the leading comments
// of the batch's texts. It consumes the session's order id if the batch executes a
// text.
func (c *caller) resolveOptions(b *batch) (requestOptions, error) {
	o := requestOptions{options: c.options}
	if err := c.applyHints(&o, b); err != nil {
		return o, err
	}
	if !b.executesText() {
		return o, nil // the order id is for the batch that executes the order
	}
	if o.orderID == "" {
		o.orderID = c.nextOrderID
	}
	c.nextOrderID = ""
	return o, nil
}

// checkHintsInTransaction validates the options in the comments of a batch in an
// open transaction, where they no longer take effect. An order id is refused there,
// because the caller would rely on it.
func (c *caller) checkHintsInTransaction(b *batch) error {
	var o requestOptions
	if err := c.applyHints(&o, b); err != nil {
		return err
	}
	if o.orderID != "" {
		return errLateOrderID
	}
	return nil
}

func (c *caller) applyHints(o *requestOptions, b *batch) error {
	texts := b.executedTexts
	if !b.executesText() {
		texts = b.preparedTexts // a text can be prepared only on a server that has its tables
	}
	for _, a := range texts {
		if a.Hints.Malformed {
			return invalidOption("comment", "", nil)
		}
		if a.Hints.TraceParent != "" {
			o.traceParent = a.Hints.TraceParent
		}
		for _, h := range a.Hints.Keys {
			if h.Key == OptionOrderID && !b.executesText() {
				continue
			}
			if err := c.applyHint(o, h); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *caller) applyHint(o *requestOptions, h sqlclass.Hint) (err error) {
	switch h.Key {
	case OptionRank:
		o.rank, err = cluster.ParseRank(h.Value)
		if err != nil {
			return invalidOption(h.Key, h.Value, err)
		}
		return nil
	case OptionFreshness:
		o.freshness, err = ParseFreshness(c.server.directory, h.Value)
		return err
	case OptionSession:
		o.session, o.hasSession = h.Value, true
		return checkName(h.Key, h.Value)
	case OptionOrderID:
		if o.orderID != "" && o.orderID != h.Value {
			return invalidOption(h.Key, h.Value, errConflictingOrderIDs)
		}
		o.orderID = h.Value
		return checkName(h.Key, h.Value)
	case OptionToken:
		o.token, err = session.ParseToken(c.group, h.Value)
		if err != nil {
			return invalidOption(h.Key, h.Value, err)
		}
		return nil
	default:
		return unknownOption(h.Key)
	}
}
