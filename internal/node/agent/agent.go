package agent

import (
	"context"
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/controlport"
	"github.com/cardamomyoke/cardamomyoke/internal/base/logging"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
)

// Settings holds the static settings of an agent.
type Settings struct {
	// Name is the name of the host.
	Name string `yaml:"name"`
	// Listen is the address at which gateways reach the agent, IP:PORT.
	Listen string `yaml:"listen"`
	// Engine is the address of the rank on the same host, IP:PORT.
	Engine string          `yaml:"engine"`
	Log    logging.Options `yaml:"log"`
}

// Check implements settings.Checker.
func (s *Settings) Check() error {
	if err := settings.CheckName("$.name", s.Name, "the host's name"); err != nil {
		return err
	}
	if err := settings.CheckAddress("$.listen", s.Listen); err != nil {
		return err
	}
	if err := settings.CheckAddress("$.engine", s.Engine); err != nil {
		return err
	}
	if err := s.Log.Check(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// Run serves until ctx is done. Running calls have little time to end: the gateway sends an interrupted order again.
func Run(ctx context.Context, set *Settings, client lockstep.RankClient, logger log.Logger) error {
	mux := http.NewServeMux()
	mux.Handle(cardamomyokev1connect.NewAgentServiceHandler(NewServer(client, set.Engine)))
	port, err := controlport.Start(set.Listen, mux, metrics.NewSet(), nil, logger)
	if err != nil {
		return err
	}
	_ = level.Info(logger).Log("msg", "started", "listen", set.Listen, "engine", set.Engine)
	<-ctx.Done()
	port.Stop()
	_ = level.Info(logger).Log("msg", "stopped")
	return nil
}
