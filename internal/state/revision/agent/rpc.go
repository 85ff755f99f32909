package agent

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
)

// maxMessageBytes bounds a message of another node. The largest has a whole configuration.
const maxMessageBytes = 32 << 20

// service serves the RPCs of other nodes.
type service struct{ agent *Agent }

// Handler returns the path and handler of the revision service.
func Handler(a *Agent) (string, http.Handler) {
	return cardamomyokev1connect.NewRevisionServiceHandler(&service{a}, connect.WithReadMaxBytes(maxMessageBytes))
}

// Push implements the RPC.
func (s *service) Push(_ context.Context, m *cardamomyokev1.PushRequest) (*cardamomyokev1.PushResponse, error) {
	s.agent.ReceivePush(m)
	return &cardamomyokev1.PushResponse{}, nil
}

// Acknowledge implements the RPC.
func (s *service) Acknowledge(_ context.Context, m *cardamomyokev1.AcknowledgeRequest) (*cardamomyokev1.AcknowledgeResponse, error) {
	s.agent.ReceiveAck(m)
	return &cardamomyokev1.AcknowledgeResponse{}, nil
}

// CatchUp implements the RPC.
func (s *service) CatchUp(ctx context.Context, _ *cardamomyokev1.CatchUpRequest) (*cardamomyokev1.CatchUpResponse, error) {
	r, err := s.agent.HandleCatchUp(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return r, nil
}

// RPC is a Transport over Connect. It is safe for concurrent use.
type RPC struct {
	scheme string
	client connect.HTTPClient
	mu     sync.Mutex
	peers  map[string]cardamomyokev1connect.RevisionServiceClient
}

var _ Transport = (*RPC)(nil)

// NewRPC returns a transport that sends over client; scheme is http or https. HTTP/2 keeps messages small, since a header
// that was sent before takes one byte.
func NewRPC(client connect.HTTPClient, scheme string) *RPC {
	return &RPC{scheme: scheme, client: client, peers: map[string]cardamomyokev1connect.RevisionServiceClient{}}
}

// HTTP2 returns a client that uses HTTP/2 without TLS, for deployments whose settings name no certificates.
func HTTP2() *http.Client {
	t := &http.Transport{Protocols: new(http.Protocols)}
	t.Protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: t}
}

func (r *RPC) peer(to *revision.Member) cardamomyokev1connect.RevisionServiceClient {
	r.mu.Lock()
	defer r.mu.Unlock()
	address := to.GetAddress()
	c, ok := r.peers[address]
	if !ok {
		c = cardamomyokev1connect.NewRevisionServiceClient(r.client, r.scheme+"://"+address, connect.WithReadMaxBytes(maxMessageBytes))
		r.peers[address] = c
	}
	return c
}

// Push implements Transport.
func (r *RPC) Push(ctx context.Context, to *revision.Member, m *revision.Push) error {
	_, err := r.peer(to).Push(ctx, m)
	return err
}

// Acknowledge implements Transport.
func (r *RPC) Acknowledge(ctx context.Context, to *revision.Member, m *revision.Ack) error {
	_, err := r.peer(to).Acknowledge(ctx, m)
	return err
}

// CatchUp implements Transport.
func (r *RPC) CatchUp(ctx context.Context, to *revision.Member) (*cardamomyokev1.CatchUpResponse, error) {
	return r.peer(to).CatchUp(ctx, &cardamomyokev1.CatchUpRequest{})
}
