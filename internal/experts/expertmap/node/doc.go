// Package node runs the state machines of package expertmap inside a process: on its control loop, with connect-go
// between processes and an engine beside the slot.
//
// In a slot:
//
//	hub := node.NewHub()                                   // one a process
//	mux.Handle(cardamomyokev1connect.NewExpertMapServiceHandler(hub))
//	tr := node.NewTransport(ctx, httpClient, resolve)      // resolve: address -> base URL, false if not known now
//	slot := node.NewSlot(node.SlotOptions{Group: g, Config: cfg, Engine: engine, Loop: loop, Transport: tr, Logger: l})
//	hub.AddSlot(g, slot)
//	go slot.Run(ctx)                                       // until the process ends
//
// cfg.Incarnation is expertmap's: node.NewIncarnation(). Ranks and the group's size come from the configuration.
//
// In the entry that holds the group's lease:
//
//	p := node.NewProposer(node.ProposerOptions{Group: g, Node: self, Config: pcfg, Loop: loop, Transport: tr})
//	hub.AddProposer(g, p)
//	go p.Run(ctx)
//	result, err := p.Propose(ctx, fence, expertmap.MapID{Version: current + 1, Name: object})
//
// Propose is called with the lease's fencing number and waits for the result; when the lease is lost, call Stop. A
// result *expertmap.FailedError names the map that the group runs, so the next Propose can start from there. Any
// entry that may hold the lease serves the hub too, since replies come to the proposer's address.
//
// Safety rests on none of the timeouts, nor on the lease. It does rest on the engine (see Engine).
package node
