package ctl

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

func (s *session) registerStatus(app *kingpin.Application, commands map[string]func(context.Context) error) {
	app.Command("status", "Nodes, upstreams, leases and the state of acceptance, as the entry knows them.")
	commands["status"] = s.status
}

func (s *session) status(ctx context.Context) error {
	st, err := s.client.GetStatus(ctx, &cardamomyokev1.GetStatusRequest{})
	if err != nil {
		return fmt.Errorf("status: %w", err)
	}
	return s.json(st)
}
