package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"slices"
	"time"
)

const (
	// successorRunTime is how long a successor runs before the control process that it
	// replaces is stopped. It exceeds the time after which a new VM must have caught up.
	successorRunTime = catchUpTime + 2*time.Second
	// maxReplacementInterval bounds the time between two stops of one replacement.
	maxReplacementInterval = 2 * time.Second
	// firstSuccessorHost is the last octet of the first control process that replaces
	// another one.
	firstSuccessorHost = 11
)

// controlReplacement replaces control processes for good, the successors first, as
// operators replace VMs. It is injected only if Options.ReplaceControl is set, so that the
// other faults of a seed stay the same.
var controlReplacement = fault{"replacement of control", plannedOnly, true, replaceControls}

// replaceControls starts successors of one or two control processes at other addresses,
// with empty disks, and stops the old ones after successorRunTime, one shortly after the
// other.
func replaceControls(ctx context.Context, d *deployment, random *rand.Rand) error {
	var successors []*process
	slots := random.Perm(voterCount)[:1+random.IntN(2)]
	for range slots {
		successor, err := d.startSuccessor()
		if err != nil {
			return err
		}
		successors = append(successors, successor)
	}
	sleepContext(ctx, successorRunTime)
	if ctx.Err() != nil {
		// The successors have not run for long enough.
		for _, successor := range successors {
			successor.stop()
		}
		return nil
	}
	for i, slot := range slots {
		old := d.controlProcesses()[slot]
		old.faultLock.Lock()
		d.logEvent("%s replaces %s", successors[i].name(), old.name())
		old.stop()
		old.faultLock.Unlock()
		d.setControl(slot, successors[i])
		time.Sleep(time.Duration(random.Int64N(int64(maxReplacementInterval))))
	}
	return nil
}

// startSuccessor starts a control process on a new VM with an empty disk.
func (d *deployment) startSuccessor() (*process, error) {
	d.mu.Lock()
	number := d.successors
	d.successors++
	d.mu.Unlock()
	if number >= firstAgentHost-firstSuccessorHost {
		return nil, fmt.Errorf("no address left for successor %d of a control process", number)
	}
	settings := d.controlProcesses()[0].copySettings()
	settings.Name, settings.Address = fmt.Sprintf("edge-new-%d", number), d.hostAddress(firstSuccessorHost+number)
	settings.DataFolder, settings.FirstStart = filepath.Join(d.folder, "disk-"+settings.Name), false
	successor := &process{program: "control", settings: settings, deployment: d}
	if err := d.relay.listen(successor.address(), internalPort+1); err != nil {
		return nil, err
	}
	if err := successor.start(); err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.processes = append(d.processes, successor)
	d.mu.Unlock()
	return successor, nil
}

// setControl puts a successor in the place of a control process that has stopped. Later
// starts of all processes get its address as a seed.
func (d *deployment) setControl(slot int, successor *process) {
	d.mu.Lock()
	d.controls = slices.Clone(d.controls)
	d.controls[slot] = successor
	var seeds []netip.Addr
	for _, control := range d.controls {
		seeds = append(seeds, control.address())
	}
	d.mu.Unlock()
	for _, p := range d.allProcesses() {
		p.setSeeds(seeds)
	}
}

// controlProcesses returns the control processes, which must not be modified.
func (d *deployment) controlProcesses() []*process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.controls
}

// allProcesses returns a copy of the list of all processes, those that were replaced
// included.
func (d *deployment) allProcesses() []*process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.processes)
}
