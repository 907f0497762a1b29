package environment

import "time"

// Default values of the fields of a document.
const (
	DefaultDetectAfter = time.Second

	DefaultUrgentFloor     = 0.5
	DefaultNormalFloor     = 0.3
	DefaultBackgroundFloor = 0.1

	DefaultUrgentQueue     = 2000
	DefaultNormalQueue     = 1000
	DefaultBackgroundQueue = 500

	DefaultUrgentMaxWait     = 5 * time.Second
	DefaultNormalMaxWait     = 5 * time.Second
	DefaultBackgroundMaxWait = 10 * time.Second

	DefaultCallersPerProxy   = 10000
	DefaultQueueBytes        = 16 << 20
	DefaultMessageBytes      = 4 << 20
	DefaultStatementTime     = 30 * time.Second
	DefaultTransactionTime   = time.Minute
	DefaultIdleInTransaction = 10 * time.Second
)

// SetDefaults implements strictyaml.Defaulter.
func (d *Document) SetDefaults() {
	d.Ranks.SetDefaults()
	d.Limits.SetDefaults()
}

// SetDefaults implements strictyaml.Defaulter.
func (g *Group) SetDefaults() {
	g.Promotion = Promotion{NoMajority: NoMajorityWait, DetectAfter: DefaultDetectAfter}
}

// SetDefaults implements strictyaml.Defaulter.
func (r *Ranks) SetDefaults() {
	r.Urgent = RankPolicy{
		Floor: DefaultUrgentFloor, Queue: DefaultUrgentQueue,
		MaxWait: DefaultUrgentMaxWait, Ack: AckMajority,
	}
	r.Normal = RankPolicy{
		Floor: DefaultNormalFloor, Queue: DefaultNormalQueue,
		MaxWait: DefaultNormalMaxWait, Ack: AckMajority,
	}
	r.Background = RankPolicy{
		Floor: DefaultBackgroundFloor, Queue: DefaultBackgroundQueue,
		MaxWait: DefaultBackgroundMaxWait, Ack: AckMajority,
	}
}

// SetDefaults implements strictyaml.Defaulter.
func (l *Limits) SetDefaults() {
	*l = Limits{
		CallersPerProxy: DefaultCallersPerProxy, QueueBytes: DefaultQueueBytes,
		MessageBytes: DefaultMessageBytes, StatementTime: DefaultStatementTime,
		TransactionTime: DefaultTransactionTime, IdleInTransaction: DefaultIdleInTransaction,
	}
}
