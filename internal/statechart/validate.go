package statechart

// validate checks what the syntax of the file does not: that every name is
// defined, every state can be reached and only final states end the chart.
func (s *source) validate() error {
	if s.name == "" {
		return s.faultAt(1, "missing name")
	}
	if s.initial == "" {
		return s.faultAt(1, "missing initial state")
	}
	if _, ok := s.stateLine[s.initial]; !ok {
		return s.faultAt(s.initialLine, "unknown initial state %q", s.initial)
	}
	if err := s.checkTransitions(); err != nil {
		return err
	}
	return s.checkReachable()
}

func (s *source) checkTransitions() error {
	leaves := map[string]bool{}
	for _, t := range s.transitions {
		if _, ok := s.stateLine[t.to]; !ok {
			return s.faultAt(t.line, "state %q: event %q leads to unknown state %q", t.from, t.event, t.to)
		}
		if s.final[t.from] {
			return s.faultAt(t.line, "final state %q has transitions", t.from)
		}
		leaves[t.from] = true
	}
	for _, state := range s.states {
		if !leaves[state] && !s.final[state] {
			return s.faultAt(s.stateLine[state], "state %q has no transitions and is not final", state)
		}
	}
	return nil
}

func (s *source) checkReachable() error {
	reached := map[string]bool{s.initial: true}
	for grown := true; grown; {
		grown = false
		for _, t := range s.transitions {
			if reached[t.from] && !reached[t.to] {
				reached[t.to] = true
				grown = true
			}
		}
	}
	for _, state := range s.states {
		if !reached[state] {
			return s.faultAt(s.stateLine[state], "state %q cannot be reached", state)
		}
	}
	return nil
}

// chart builds the immutable form of a valid source.
func (s *source) chart() *Chart {
	c := &Chart{
		name:       s.name,
		states:     s.states,
		stateIndex: map[string]int32{},
		eventIndex: map[string]int32{},
	}
	for i, state := range s.states {
		c.stateIndex[state] = int32(i)
		c.final = append(c.final, s.final[state])
	}
	c.initial = c.stateIndex[s.initial]
	for _, t := range s.transitions {
		if _, ok := c.eventIndex[t.event]; !ok {
			c.eventIndex[t.event] = int32(len(c.events))
			c.events = append(c.events, t.event)
		}
	}
	c.next = make([]int32, len(c.states)*len(c.events))
	for i := range c.next {
		c.next[i] = noState
	}
	for _, t := range s.transitions {
		at := int(c.stateIndex[t.from])*len(c.events) + int(c.eventIndex[t.event])
		c.next[at] = c.stateIndex[t.to]
	}
	return c
}
