package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bramleyhold.example/bramleyhold/internal/vm"
)

// Guards against changes that stay unanswered after full disks: the disks are full for a
// while one after the other, never two at once, while changes are made. While one is full
// and after the last one has room again, changes must be accepted.
func TestDisksFullInTurn(t *testing.T) {
	for _, others := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(others, " other replicas"), func(t *testing.T) {
			t.Parallel()
			g := newRaftGroup(t)
			g.start(3, others)
			random := rand.New(rand.NewPCG(uint64(others), 5))
			require.Eventually(t, func() bool { return g.propose(1) }, 10*time.Second, time.Millisecond)
			version := uint64(1)
			for range 3 {
				for i := range 3 + others {
					disk := g.disks[vm.ID(fmt.Sprint("c", i))]
					disk.SetFull(true)
					for end := time.Now().Add(time.Duration(300+random.IntN(600)) * time.Millisecond); time.Now().Before(end); {
						version++
						g.propose(version)
					}
					disk.SetFull(false)
					time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
				}
			}
			for range 20 {
				version++
				require.Eventually(t, func() bool { return g.propose(version) }, 5*time.Second, time.Millisecond, "version %d", version)
			}
		})
	}
}
