package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/replica"
)

// storeCheckPeers returns the view of a gateway with 43 peers in three data centres, of which some have lost the store and some are
// silent.
func storeCheckPeers(own string, checks StoreChecks, lost, silent int) *peers {
	now := time.Now()
	p := &peers{g: &Gateway{logger: log.NewNopLogger()}, delegates: map[string]bool{}, startedAt: now.Add(-time.Minute), byName: map[string]*peer{}, detector: newDetector()}
	p.g.settings.Store(&Settings{Name: own, DataCentre: "dc-0", StoreChecks: checks})
	for i := range 44 {
		name := fmt.Sprintf("g-%d", i)
		if name == own {
			continue
		}
		seen := now
		if i < silent {
			seen = now.Add(-10 * time.Second)
		}
		news := &cardamomyokev1.TableNews{Table: "op", Lost: i < lost, Following: i >= lost}
		p.byName[name] = &peer{lastSeen: seen, digest: &cardamomyokev1.Digest{
			Node: name, DataCentre: fmt.Sprintf("dc-%d", i%3), DigestAddress: name, News: []*cardamomyokev1.TableNews{news},
		}}
	}
	return p
}

// Guards against all gateways calling a store that is away for all of them, and against nobody calling it.
func TestFewGatewaysCheckStoreInOutage(t *testing.T) {
	table := replica.NewReplica("op")
	checking := 0
	for i := 0; i < 44; i += 3 {
		if !storeCheckPeers(fmt.Sprintf("g-%d", i), StoreChecksShared, 44, 0).delegatesStoreChecks(table, time.Now()) {
			checking++
		}
	}
	if checking != minSentinels/3 {
		t.Errorf("%d of 15 gateways of a data centre check the store, want %d", checking, minSentinels/3)
	}
}

// Guards against a gateway that stops calling the store although the others can tell it nothing of the store, or need not.
func TestGatewayChecksStoreItself(t *testing.T) {
	for _, c := range []struct {
		name         string
		checks       StoreChecks
		lost, silent int
	}{
		{"by default", "", 44, 0},
		{"with checks of its own", StoreChecksEach, 44, 0},
		{"while most others reach the store", StoreChecksShared, 10, 0},
		{"once two others follow the store again", StoreChecksShared, 42, 0},
		{"cut off from most others", StoreChecksShared, 44, 30},
	} {
		for i := 0; i < 44; i += 3 {
			p := storeCheckPeers(fmt.Sprintf("g-%d", i), c.checks, c.lost, c.silent)
			if p.delegatesStoreChecks(replica.NewReplica("op"), time.Now()) {
				t.Errorf("%s: g-%d leaves the store to others", c.name, i)
			}
		}
	}
}
