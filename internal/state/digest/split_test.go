package digest_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/digest"
)

// busyDigest returns the digest of a gateway with work and as many rows of the other lists for the given number of
// upstreams.
func busyDigest(upstreams int) *cardamomyokev1.Digest {
	d := &cardamomyokev1.Digest{
		Node: "gateway-1", Incarnation: "life-1", Sequence: 7, Role: cardamomyokev1.NodeRole_NODE_ROLE_GATEWAY,
		State: cardamomyokev1.NodeState_NODE_STATE_LIVE, DigestAddress: "10.1.0.1:8229", ExpertsFence: 12,
		News:   []*cardamomyokev1.TableNews{{Table: "op", Newest: 99}, {Table: "servers", Newest: 100, Following: true}},
		Work:   &cardamomyokev1.WorkColumns{},
		Rumors: &cardamomyokev1.Rumors{},
		Limits: &cardamomyokev1.LimitColumns{},
	}
	for i := range upstreams {
		d.Work.Upstreams = append(d.Work.Upstreams, uint32(i)*2654435761)
		d.Work.Requests = append(d.Work.Requests, uint32(i%7))
		d.Work.PromptTokens = append(d.Work.PromptTokens, uint32(i*1000))
		d.Limits.Upstreams = append(d.Limits.Upstreams, uint32(i))
		d.Limits.PerSecond = append(d.Limits.PerSecond, float32(i)/2)
		d.Limits.AgeMs = append(d.Limits.AgeMs, uint32(i)<<20)
		d.Rumors.Lives = append(d.Rumors.Lives, uint32(i))
		d.Rumors.Sequences = append(d.Rumors.Sequences, uint64(i)<<20)
		d.Rumors.Ended = append(d.Rumors.Ended, i%2 == 0)
		d.Slow = append(d.Slow, &cardamomyokev1.UpstreamPace{Upstream: uint64(i) << 40, Pace: 1.5})
		d.Peers = append(d.Peers, fmt.Sprintf("10.1.%d.%d:8229", i/250, i%250))
		d.Parts = append(d.Parts, &cardamomyokev1.SuspectPart{Part: uint64(i) << 40, Evidence: []*cardamomyokev1.PartEvidence{{Crash: uint64(i)}}})
	}
	return d
}

// Guards against a gateway with work at sixty or more upstreams that no peer receives, because its digest does not fit
// one datagram.
func TestDigestOf400UpstreamsArrivesInParts(t *testing.T) {
	received := make(chan *cardamomyokev1.Digest, digest.MaxParts)
	receiver, address := listen(t, func(d *cardamomyokev1.Digest) { received <- d })
	defer func() { _ = receiver.Stop(context.Background()) }()
	sender, err := digest.NewSender()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = sender.Close() }()
	want := busyDigest(400)
	if _, err := sender.Send(address, want); err != nil {
		t.Fatal(err)
	}
	var got *cardamomyokev1.Digest
	for {
		select {
		case part := <-received:
			if part.GetNode() != want.GetNode() || part.GetState() != want.GetState() || part.GetExpertsFence() != 12 {
				t.Fatalf("part %d lacks the sender or its state: %v", part.GetPart().GetIndex(), part)
			}
			count := part.GetPart().GetCount()
			if got == nil {
				got = part
			} else {
				got = digest.Join(got, part)
			}
			if part.GetPart().GetIndex() != count-1 {
				continue
			}
		case <-time.After(5 * time.Second):
			t.Fatal("the digest did not arrive in full")
		}
		break
	}
	got.Part = nil
	if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
}

// listen receives digests on a free port of loopback.
func listen(t *testing.T, handle func(*cardamomyokev1.Digest)) (*digest.Receiver, string) {
	t.Helper()
	free, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.LocalAddr().String()
	_ = free.Close()
	receiver, err := digest.Receive(address, handle)
	if err != nil {
		t.Fatal(err)
	}
	return receiver, address
}

func TestPartsFitOneDatagram(t *testing.T) {
	for _, upstreams := range []int{0, 1, 12, 60, 192, 780} {
		d := busyDigest(upstreams)
		for _, part := range digest.Split(d) {
			if size := proto.Size(part); size > digest.MaxBytes {
				t.Errorf("%d upstreams: part %d has %d bytes", upstreams, part.GetPart().GetIndex(), size)
			}
		}
	}
	if parts := digest.Split(busyDigest(0)); len(parts) != 1 || parts[0].GetPart() != nil {
		t.Errorf("a short digest is sent in %d parts", len(parts))
	}
}

func TestDecodeRejectsInvalidColumnsAndParts(t *testing.T) {
	for _, d := range []*cardamomyokev1.Digest{
		{Work: &cardamomyokev1.WorkColumns{Upstreams: []uint32{1, 2}, Requests: []uint32{1}, PromptTokens: []uint32{1, 2}}},
		{Work: &cardamomyokev1.WorkColumns{Upstreams: []uint32{1}, Requests: []uint32{1}}},
		{Rumors: &cardamomyokev1.Rumors{Lives: []uint32{1}, Sequences: []uint64{1}}},
		{Part: &cardamomyokev1.Part{Index: 2, Count: 2}},
		{Part: &cardamomyokev1.Part{Index: 2, Count: digest.MaxParts + 1}},
	} {
		d.Node, d.Incarnation = "n", "i"
		data, err := proto.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		var field *digest.FieldError
		if _, err := digest.Decode(data); !errors.As(err, &field) {
			t.Errorf("%v was accepted: %v", d, err)
		}
	}
}
