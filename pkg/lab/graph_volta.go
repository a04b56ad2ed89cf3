package lab

import "time"

// voltaChain is a small chain like Volta's: fleet-view calls hire-ledger, which calls yard-depot.
func voltaChain() *Graph {
	return &Graph{
		Zones: 3, Retries: 2,
		Services: []Service{
			{Name: "fleet-view", Servers: 5, Slots: 30, Time: 10 * time.Millisecond},
			{Name: "hire-ledger", Servers: 4, Slots: 24, Time: 10 * time.Millisecond},
			{Name: "yard-depot", Servers: 3, Slots: 8, Time: 40 * time.Millisecond},
		},
		Classes: []Class{
			{
				Name: "billing", Tier: 3, OnceOnly: true, Share: 0.2, Timeout: time.Second, Root: "fleet-view",
				Calls: chainCalls("billing", "fleet-view", "hire-ledger", "yard-depot"),
			},
			{
				Name: "reads", Tier: 2, Share: 0.5, Timeout: time.Second, Root: "fleet-view",
				Calls: chainCalls("reads", "fleet-view", "hire-ledger", "yard-depot"),
			},
			{
				Name: "maps", Tier: 1, Share: 0.3, Timeout: time.Second, Root: "fleet-view",
				Calls: chainCalls("maps", "fleet-view", "hire-ledger", "yard-depot"),
			},
		},
	}
}

// chainCalls makes each service call the next one for the class.
func chainCalls(class string, services ...string) map[string][]Stage {
	calls := map[string][]Stage{}
	for i := 0; i+1 < len(services); i++ {
		calls[services[i]] = []Stage{{{services[i+1], class}}}
	}
	return calls
}
