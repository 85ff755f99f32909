package dispatch

// SetFairAccounts changes one option of a pool in tests.
func (p *Pool) SetFairAccounts(on bool) { p.opts.FairAccounts = on }
