package home

// queueBytes returns the bound of the bytes of waiting requests: the smaller one of the
// document's and a share of the memory limit of the process; zero if there is neither.
func (o *owner) queueBytes() int64 { return smallerBound(o.limits.QueueBytes, o.memoryBound()) }

// requestBytesLimit returns the bound of the bytes of requests that wait or run.
func (o *owner) requestBytesLimit() int64 {
	return orDefault(smallerBound(2*o.limits.QueueBytes, o.memoryBound()), defaultRequestBytes)
}
