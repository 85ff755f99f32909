package load

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/meter"
)

// Coster measures the processor time of one request along each path: that of the whole process, client and stand-ins
// included, so that only differences between paths tell what entry and slot cost.
type Coster struct {
	bed *bed
	o   Options
}

// NewCoster starts the processes; call Stop.
func NewCoster(workers int) (*Coster, error) {
	o := Options{Workers: workers, Tokens: 1}
	b, err := startBed(o)
	if err != nil {
		return nil, err
	}
	return &Coster{b, o}, nil
}

// Stop ends the processes.
func (c *Coster) Stop() { c.bed.stop() }

// Cost is the processor time of one request.
type Cost struct {
	// Straight goes to the stand-in, Entry through an entry to a stub, Both through entry and slot to the stand-in.
	Straight, Entry, Both time.Duration
}

// Plain measures so many requests to the plain service along each path.
func (c *Coster) Plain(requests int) (Cost, error) {
	body := []byte(`{"slip":1}`)
	var cost Cost
	err := c.each(requests, map[*time.Duration]path{
		&cost.Straight: {address: c.bed.plainAddr, request: post("/slips", body)},
		&cost.Entry:    {address: c.bed.entryAddr, request: post("/v1/services/"+serviceStub+"/slips", body)},
		&cost.Both:     {address: c.bed.entryAddr, request: post("/v1/services/"+servicePlain+"/slips", body)},
	})
	return cost, err
}

// Model measures so many streamed answers of the given length.
func (c *Coster) Model(requests, tokens int) (Cost, error) {
	chat := chatBody(tokens)
	var cost Cost
	err := c.each(requests, map[*time.Duration]path{
		&cost.Straight: {address: c.bed.engineAddr, request: post("/v1/chat/completions", chat)},
		&cost.Both:     {address: c.bed.entryAddr, request: post("/v1/chat/completions", chat)},
	})
	return cost, err
}

// Addresses measures so many questions for addresses at the entry; it returns the time and the bytes of one answer.
func (c *Coster) Addresses(requests int) (each time.Duration, size int, err error) {
	p := path{address: c.bed.entryAddr, request: func() *fasthttp.Request {
		req := &fasthttp.Request{}
		req.SetRequestURI("/v1/addresses")
		req.Header.SetHost("load")
		return req
	}}
	res, err := httpclient.New(httpclient.Options{}).Do(context.Background(), p.address, p.request())
	if err != nil {
		return 0, 0, fmt.Errorf("ask for addresses: %w", err)
	}
	size = res.Header.ContentLength()
	res.Release(false)
	err = c.each(requests, map[*time.Duration]path{&each: p})
	return each, size, err
}

// each sends the requests along each path and notes the processor time of one.
func (c *Coster) each(requests int, paths map[*time.Duration]path) error {
	for into, p := range paths {
		client := httpclient.New(httpclient.Options{})
		if err := drive(client, p, requests/10, c.o.Workers, nil); err != nil {
			return err
		}
		before := meter.ProcessorTime()
		err := drive(client, p, requests, c.o.Workers, nil)
		*into = (meter.ProcessorTime() - before) / time.Duration(requests)
		client.Close()
		if err != nil {
			return err
		}
	}
	return nil
}
