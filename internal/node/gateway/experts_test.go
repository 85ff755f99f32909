package gateway

import (
	"context"
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Guards against a controller that goes on polling the ranks of a service that was removed from the configuration.
func TestControllerOfRemovedServiceStops(t *testing.T) {
	stopped := make(chan struct{})
	controller := lockstep.Start(t.Context(), func(ctx context.Context, _ <-chan struct{}) {
		<-ctx.Done()
		close(stopped)
	})
	g := &Gateway{}
	g.control.config = &catalog.Configuration{Services: map[ids.Service]*catalog.Service{"other": {Name: "other"}}}
	e := &experts{g: g, controllers: map[ids.Service]*lockstep.Running{"removed": controller}}
	e.updateControllers()
	if e.anyGroup() {
		t.Fatal("the controller is still listed")
	}
	<-stopped
}
