package load

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/meter"
)

// CostMeter measures the processor time of one request on each path. The time includes the whole process with the client
// and the stand-ins, so only the differences between paths are the cost of entry and slot.
type CostMeter struct {
	testbed *testbed
	options Options
}

// NewCostMeter starts the entry, the slots and the stand-ins. The caller must call Stop.
func NewCostMeter(workers int) (*CostMeter, error) {
	o := Options{Workers: workers, Tokens: 1}
	b, err := startTestbed(o)
	if err != nil {
		return nil, err
	}
	return &CostMeter{b, o}, nil
}

// Stop stops everything that NewCostMeter started.
func (c *CostMeter) Stop() { c.testbed.stop() }

// Cost is the processor time of one request.
type Cost struct {
	// Direct is sent to the stand-in, Entry through an entry to a stub, EntryAndSlot through entry and slot to the
	// stand-in.
	Direct, Entry, EntryAndSlot time.Duration
}

// Plain measures the given number of requests to the plain service on each path.
func (c *CostMeter) Plain(requests int) (Cost, error) {
	body := []byte(`{"slip":1}`)
	var cost Cost
	err := c.measureEach(requests, map[*time.Duration]path{
		&cost.Direct:       {address: c.testbed.plainAddr, request: post("/slips", body)},
		&cost.Entry:        {address: c.testbed.entryAddr, request: post("/v1/services/"+serviceStub+"/slips", body)},
		&cost.EntryAndSlot: {address: c.testbed.entryAddr, request: post("/v1/services/"+servicePlain+"/slips", body)},
	})
	return cost, err
}

// Model measures the given number of streamed responses of the given length. It does not set Entry.
func (c *CostMeter) Model(requests, tokens int) (Cost, error) {
	chat := chatBody(tokens)
	var cost Cost
	err := c.measureEach(requests, map[*time.Duration]path{
		&cost.Direct:       {address: c.testbed.engineAddr, request: post("/v1/chat/completions", chat)},
		&cost.EntryAndSlot: {address: c.testbed.entryAddr, request: post("/v1/chat/completions", chat)},
	})
	return cost, err
}

// Addresses measures the given number of address requests to the entry. It returns the processor time of one, and the size
// of its response in bytes.
func (c *CostMeter) Addresses(requests int) (each time.Duration, size int, err error) {
	p := path{address: c.testbed.entryAddr, request: func() *fasthttp.Request {
		req := &fasthttp.Request{}
		req.SetRequestURI("/v1/addresses")
		req.Header.SetHost("load")
		return req
	}}
	res, err := httpclient.New(httpclient.Options{}).Do(context.Background(), p.address, httpclient.Exchange{Request: p.request()})
	if err != nil {
		return 0, 0, fmt.Errorf("request addresses: %w", err)
	}
	size = res.Header.ContentLength()
	res.Release(false)
	err = c.measureEach(requests, map[*time.Duration]path{&each: p})
	return each, size, err
}

// measureEach sends the requests on each path, after a warm-up with a tenth as many, and stores the processor time of one
// at the path's key.
func (c *CostMeter) measureEach(requests int, paths map[*time.Duration]path) error {
	for result, p := range paths {
		client := httpclient.New(httpclient.Options{UnidentifiedFor: keptFor})
		if err := drive(client, p, requests/10, c.options.Workers, nil); err != nil {
			return err
		}
		before := meter.ProcessorTime()
		err := drive(client, p, requests, c.options.Workers, nil)
		*result = (meter.ProcessorTime() - before) / time.Duration(requests)
		client.Close()
		if err != nil {
			return err
		}
	}
	return nil
}
