package slopes

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bramleyhold.example/bramleyhold/internal/frame"
	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/vm"
)

const (
	rankingDecisions = 2_000_000
	frameRepeats     = 500_000
	packetBytes      = 1300
	gossipBytes      = 200
	rounds           = 5
)

// fastest returns the shortest time per operation of several rounds: the
// others were disturbed by other processes.
func fastest(operations int, run func()) float64 {
	best := time.Duration(1<<63 - 1)
	for range rounds {
		start := time.Now()
		run()
		best = min(best, time.Since(start))
	}
	return float64(best.Nanoseconds()) / float64(operations)
}

// measureRanking measures the choice of the first member in rank.
func measureRanking(p *printer) error {
	for _, n := range []int{7, ranking.MaxMembers} {
		hashes := make([]uint64, n)
		for i := range hashes {
			hashes[i] = ranking.MemberHash(vm.ID(fmt.Sprintf("vm-%05d", i)))
		}
		rng := rand.New(rand.NewPCG(p.seed, 1))
		sink := 0
		ns := fastest(rankingDecisions, func() {
			for range rankingDecisions {
				sink += ranking.FirstUnweighted(rng.Uint64(), hashes, 0)
			}
		})
		if sink < 0 {
			return &NoMemberError{Members: n}
		}
		if err := p.add("ranking.first", n, ns, "ns"); err != nil {
			return err
		}
	}
	return nil
}

// NoMemberError reports a ranking without a first member.
type NoMemberError struct {
	Members int
}

func (e *NoMemberError) Error() string {
	return fmt.Sprintf("ranking of %d members has no first", e.Members)
}

// measureFrames measures the seal and the check of a full data packet and of a
// gossip message.
func measureFrames(p *printer) error {
	if err := measureFrame(p, "frame.packet", frame.KindPacket, packetBytes); err != nil {
		return err
	}
	return measureFrame(p, "frame.gossip", frame.KindGossip, gossipBytes)
}

func measureFrame(p *printer, name string, kind frame.Kind, size int) error {
	keys := &frame.Keys{Current: 1, Secrets: map[uint8]frame.Secret{1: {K0: p.seed, K1: 2}}}
	body, buffer := make([]byte, size), make([]byte, 0, 2*packetBytes)
	header := frame.Header{Kind: kind, Service: 7, Incarnation: 1 << 60, Epoch: 1000, Origin: 1 << 62}
	var failure error
	seal := fastest(frameRepeats, func() {
		for range frameRepeats {
			sealed, err := keys.Seal(buffer[:0], &header, body)
			if err != nil {
				failure = err
			}
			buffer = sealed
		}
	})
	open := fastest(frameRepeats, func() {
		for range frameRepeats {
			var h frame.Header
			if _, err := keys.Open(buffer, &h); err != nil {
				failure = err
			}
		}
	})
	if failure != nil {
		return failure
	}
	if err := p.add(name+".seal", size, seal, "ns"); err != nil {
		return err
	}
	return p.add(name+".open", size, open, "ns")
}
