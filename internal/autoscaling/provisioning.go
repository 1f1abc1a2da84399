package autoscaling

import (
	"fmt"
	"slices"
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// provisioningRequest is a request for machines that is being made.
type provisioningRequest struct {
	storage.ProvisioningRecord
	committed  bool // it is durable, so that it may be sent
	calling    bool
	retryAt    time.Duration
	bestEffort bool // for best-effort work only
}

// AppendTo writes it.
func (r *provisioningRequest) AppendTo(page *storage.PageValue) {
	page.Provisioning = append(page.Provisioning, r.ProvisioningRecord)
}

// waiter returns a waiter for a commit that requests for best-effort work leave to others.
func (r *provisioningRequest) waiter(ordinary func(func()) *storage.CommitWaiter, onCommit func()) *storage.CommitWaiter {
	if r.bestEffort {
		return storage.OnLowestPriorityCommit(onCommit)
	}
	return ordinary(onCommit)
}

// deferredWaiter returns a waiter for a commit that nobody waits for.
func (r *provisioningRequest) deferredWaiter() *storage.CommitWaiter {
	return r.waiter(storage.OnDeferredCommit, func() {})
}

// demand is an offering that machines are to be provisioned of.
type demand struct {
	cluster.Offering
	bestEffort bool // for best-effort work only
}

// The most requests that are open at a time: no more than the cloud answers in a second or
// two.
const (
	minOpenRequests    = 2
	openRequestsPerRPS = 1.5
)

// RestoreRequest takes in a request that an earlier leader recorded.
func (a *Autoscaler) RestoreRequest(record storage.ProvisioningRecord) storage.Item {
	request := &provisioningRequest{ProvisioningRecord: record, committed: true}
	a.requests = append(a.requests, request)
	return request
}

// RestoreMachines takes in the machines that earlier leaders' requests have brought.
func (a *Autoscaler) RestoreMachines() {
	now := a.context.Now
	for _, request := range a.requests {
		for _, name := range request.Machines {
			machine := a.state.Machine(name)
			machine.SetOffering(request.Type, request.Zone, request.Spot)
			age := time.Duration(max(0, now.WallMs-request.AtMs)) * time.Millisecond
			machine.Provisioning.ProvisionedAt = now.Monotonic - age
		}
	}
}

// sendRequests sends the requests that are durable, and forgets those whose machines are known
// from elsewhere.
func (a *Autoscaler) sendRequests() {
	now := a.context.Monotonic()
	for _, request := range slices.Clone(a.requests) {
		if request.committed && !request.Answered && !request.calling && now >= request.retryAt {
			request.calling = a.send(message.CloudCall{Op: message.CloudScaleOut, Provisioning: protocol.ProvisioningRequest{
				RequestID: request.RequestID, Type: request.Type, Zone: request.Zone, Spot: request.Spot, Count: request.Count,
			}}, cloudCall{request: request})
		}
		if request.Answered && !slices.ContainsFunc(request.Machines, a.knownOnlyByRequest) {
			a.removeRequest(request)
		}
	}
}

// knownOnlyByRequest reports whether a machine is known from nowhere but the request for it.
func (a *Autoscaler) knownOnlyByRequest(name string) bool {
	if a.state.ReleasedMachines[name] {
		return false
	}
	machine := a.state.Machines[name]
	return machine == nil || !machine.Worker.Registered && machine.Provisioning.ListedAt == 0
}

func (a *Autoscaler) removeRequest(request *provisioningRequest) {
	a.requests = slices.DeleteFunc(a.requests, func(x *provisioningRequest) bool { return x == request })
	a.store.Remove(a.context.Monotonic(), request, request.deferredWaiter())
}

// request records a request for machines; it is sent once that is durable. It returns how many
// machines the request is for; 0: none was made.
func (a *Autoscaler) request(d demand, count int) int {
	open := 0
	for _, request := range a.requests {
		if !request.Answered {
			open++
		}
	}
	if float64(open) >= max(minOpenRequests, openRequestsPerRPS*a.settings.RPS) {
		return 0
	}
	a.requestCount++
	request := &provisioningRequest{bestEffort: d.bestEffort, ProvisioningRecord: storage.ProvisioningRecord{
		RequestID: fmt.Sprintf("oakpick-%d-%d", a.leadership.FirstToken(), a.requestCount),
		Type:      d.Type, Zone: d.Zone, Spot: d.Spot, Count: count, AtMs: a.context.Now.WallMs,
	}}
	for request.Count > 1 && !a.store.Fits(request) { // its answer has to be kept on a page
		request.Count /= 2
	}
	a.requests = append(a.requests, request)
	a.store.MarkDirty(a.context.Monotonic(), request, request.waiter(storage.OnCommit, func() {
		request.committed = true
		a.planAt = 0
	}))
	return request.Count
}

// provisioned takes in the cloud's answer to a request for machines.
func (a *Autoscaler) provisioned(request *provisioningRequest, result message.CloudResult) {
	request.calling = false
	a.planAt = 0 // the next may be waiting for this one's connection
	switch result.Outcome {
	case rpc.OK:
		a.machinesProvisioned(request, result.Machines)
	case rpc.NotFound, rpc.Invalid: // no capacity, or malformed
		if result.Outcome == rpc.Invalid {
			a.context.Log(message.Error, "cloud rejects a provisioning request", "type", request.Type, "zone", request.Zone, "count", request.Count)
		}
		a.noteOutOfCapacity(request)
		a.removeRequest(request)
	default:
		// It may have been done: only its own name asks again without provisioning twice.
		request.retryAt = a.context.Monotonic() + a.timing.HeartbeatInterval/cloudRetryShare
	}
}

func (a *Autoscaler) machinesProvisioned(request *provisioningRequest, names []string) {
	now := a.context.Monotonic()
	request.Answered, request.Machines = true, names
	a.context.Stats.MachinesScaledOut += int64(len(names))
	a.context.Log(message.Info, "machines provisioned", "request", request.RequestID, "type", request.Type, "zone", request.Zone,
		"spot", request.Spot, "requested", request.Count, "provisioned", len(names))
	for _, name := range names {
		if a.state.ReleasedMachines[name] {
			continue
		}
		machine := a.state.Machine(name)
		machine.SetOffering(request.Type, request.Zone, request.Spot)
		machine.Provisioning.ProvisionedAt = now
	}
	if len(names) < request.Count {
		a.noteOutOfCapacity(request)
	}
	a.store.MarkDirty(now, request, request.deferredWaiter())
}

func (a *Autoscaler) noteOutOfCapacity(request *provisioningRequest) {
	o := cluster.Offering{Type: request.Type, Zone: request.Zone, Spot: request.Spot}
	a.outOfCapacity[o] = a.context.Monotonic() + capacityLeases*a.timing.Lease
}
