package retry

// Grant holds the retries that a budget grants to one request. It is not safe for
// concurrent use.
type Grant struct {
	budget *FleetBudget
	unused bool
}

// NewGrant returns a grant without a retry.
func (b *FleetBudget) NewGrant() *Grant { return &Grant{budget: b} }

// Take reports whether the request may be sent to a target again, or for the first time if
// it is a call of a repeated run. A retry that was granted and has not been used stays valid.
func (g *Grant) Take() bool {
	if !g.unused {
		g.unused = g.budget.Allow()
	}
	return g.unused
}

// Use records that the request has arrived at a target.
func (g *Grant) Use() { g.unused = false }

// Close gives back a retry that was not used.
func (g *Grant) Close() {
	if g.unused {
		g.unused = false
		g.budget.giveBack()
	}
}
