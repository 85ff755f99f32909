// Package node runs the state machines of package expertmap inside a process: it schedules them on the process's
// control loop, sends their messages between processes with connect-go, and gives the slot's orders to the engine.
//
// In a slot:
//
//	hub := node.NewHub()                                   // one per process
//	mux.Handle(cardamomyokev1connect.NewExpertMapServiceHandler(hub))
//	tr := node.NewTransport(ctx, httpClient, resolve)      // resolve: address -> base URL, false if unknown
//	slot := node.NewSlot(node.SlotOptions{Group: g, Config: cfg, Engine: engine, Loop: loop, Transport: tr, Logger: l})
//	hub.AddSlot(g, slot)
//	go slot.Run(ctx)                                       // until ctx is done
//
// Set cfg.Incarnation to node.NewIncarnation(). The rank and the group's size come from the configuration.
//
// In the entry that holds the group's lease:
//
//	p := node.NewProposer(node.ProposerOptions{Group: g, Node: self, Config: pcfg, Loop: loop, Transport: tr})
//	hub.AddProposer(g, p)
//	go p.Run(ctx)
//	result, err := p.Propose(ctx, fence, expertmap.MapID{Version: current + 1, Name: object})
//
// Propose takes the lease's fencing token and waits for the result. The caller calls Stop when the lease is lost. A
// *expertmap.FailedError names the map that the group runs, so that the next Propose can start from it. Every entry
// that may hold the lease must serve the hub too, since replies are sent to the proposer's address.
//
// Safety depends on none of the timeouts, nor on the lease. It does depend on the engine; see Engine.
package node
