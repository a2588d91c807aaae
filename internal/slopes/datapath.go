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
	rankingRuns  = 2_000_000
	frameRuns    = 500_000
	packetBytes  = 1300
	gossipBytes  = 200
	timingRounds = 5
)

// fastestNanos returns the time per operation of the fastest of several rounds.
// Slower rounds include disturbances by other processes.
func fastestNanos(operations int, run func()) float64 {
	shortest := time.Duration(1<<63 - 1)
	for range timingRounds {
		start := time.Now()
		run()
		shortest = min(shortest, time.Since(start))
	}
	return float64(shortest.Nanoseconds()) / float64(operations)
}

// measureRanking measures the selection of the member that ranks first for a flow.
func measureRanking(w *rowWriter) error {
	for _, memberCount := range []int{7, ranking.MaxMembers} {
		hashes := make([]uint64, memberCount)
		for i := range hashes {
			hashes[i] = ranking.MemberHash(vm.ID(fmt.Sprintf("vm-%05d", i)))
		}
		rng := rand.New(rand.NewPCG(w.seed, 1))
		indexSum := 0
		ns := fastestNanos(rankingRuns, func() {
			for range rankingRuns {
				indexSum += ranking.FirstUnweighted(rng.Uint64(), hashes, 0)
			}
		})
		if indexSum < 0 {
			return &NoMemberError{Members: memberCount}
		}
		if err := w.writeRow("ranking.first", memberCount, ns, "ns"); err != nil {
			return err
		}
	}
	return nil
}

// NoMemberError reports a ranking that returned no first member.
type NoMemberError struct {
	Members int
}

func (e *NoMemberError) Error() string {
	return fmt.Sprintf("ranking of %d members returned no first member", e.Members)
}

// measureFrames measures sealing and opening of a frame, for a data packet of
// full size and for a gossip message.
func measureFrames(w *rowWriter) error {
	if err := measureFrame(w, "frame.packet", frame.KindPacket, packetBytes); err != nil {
		return err
	}
	return measureFrame(w, "frame.gossip", frame.KindGossip, gossipBytes)
}

func measureFrame(w *rowWriter, name string, kind frame.Kind, size int) error {
	keys := &frame.Keys{Current: 1, Secrets: map[uint8]frame.Secret{1: {K0: w.seed, K1: 2}}}
	body, buffer := make([]byte, size), make([]byte, 0, 2*packetBytes)
	header := frame.Header{Kind: kind, Service: 7, Incarnation: 1 << 60, Epoch: 1000, Origin: 1 << 62}
	var frameErr error
	sealNanos := fastestNanos(frameRuns, func() {
		for range frameRuns {
			sealed, err := keys.Seal(buffer[:0], &header, body)
			if err != nil {
				frameErr = err
			}
			buffer = sealed
		}
	})
	openNanos := fastestNanos(frameRuns, func() {
		for range frameRuns {
			var h frame.Header
			if _, err := keys.Open(buffer, &h); err != nil {
				frameErr = err
			}
		}
	})
	if frameErr != nil {
		return frameErr
	}
	if err := w.writeRow(name+".seal", size, sealNanos, "ns"); err != nil {
		return err
	}
	return w.writeRow(name+".open", size, openNanos, "ns")
}
