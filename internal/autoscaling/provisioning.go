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

// provisioningRequest is a pending request to the cloud for machines.
type provisioningRequest struct {
	storage.ProvisioningRecord
	committed  bool // the record is durable, so the request may be sent
	inFlight   bool
	retryAt    time.Duration
	bestEffort bool // the machines are for best-effort jobs only
}

// AppendTo appends the request's record to a page.
func (r *provisioningRequest) AppendTo(page *storage.PageValue) {
	page.Provisioning = append(page.Provisioning, r.ProvisioningRecord)
}

// commitWaiter returns a waiter for the request's commit: one of the lowest priority for
// best-effort jobs, and the one that normalPriority makes for others.
func (r *provisioningRequest) commitWaiter(normalPriority func(func()) *storage.CommitWaiter, onCommit func()) *storage.CommitWaiter {
	if r.bestEffort {
		return storage.OnLowestPriorityCommit(onCommit)
	}
	return normalPriority(onCommit)
}

// deferredCommitWaiter returns a waiter for a commit that nothing depends on.
func (r *provisioningRequest) deferredCommitWaiter() *storage.CommitWaiter {
	return r.commitWaiter(storage.OnDeferredCommit, func() {})
}

// machineDemand groups machines to be provisioned that can share a request.
type machineDemand struct {
	cluster.Offering
	bestEffort bool // the machine is for best-effort jobs only
}

// Limits on the number of unanswered requests: no more than the cloud answers in one or two
// seconds.
const (
	minOpenRequests    = 2
	openRequestsPerRPS = 1.5
)

// RestoreRequest adds a request that an earlier leader recorded.
func (a *Autoscaler) RestoreRequest(record storage.ProvisioningRecord) storage.Item {
	request := &provisioningRequest{ProvisioningRecord: record, committed: true}
	a.requests = append(a.requests, request)
	return request
}

// RestoreMachines adds the machines that were provisioned for earlier leaders' requests.
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

// sendRequests sends the durable requests, and removes answered ones whose machines are all
// known from other sources.
func (a *Autoscaler) sendRequests() {
	now := a.context.Monotonic()
	for _, request := range slices.Clone(a.requests) {
		if request.committed && !request.Answered && !request.inFlight && now >= request.retryAt {
			request.inFlight = a.send(message.CloudCall{Op: message.CloudScaleOut, Provisioning: protocol.ProvisioningRequest{
				RequestID: request.RequestID, Type: request.Type, Zone: request.Zone, Spot: request.Spot, Count: request.Count,
			}}, cloudCall{request: request})
		}
		if request.Answered && !slices.ContainsFunc(request.Machines, a.knownOnlyByRequest) {
			a.removeRequest(request)
		}
	}
}

// knownOnlyByRequest reports whether a request is the only source that names a machine.
func (a *Autoscaler) knownOnlyByRequest(name string) bool {
	if a.state.ReleasedMachines[name] {
		return false
	}
	machine := a.state.Machines[name]
	return machine == nil || !machine.Worker.Registered && machine.Provisioning.ListedAt == 0
}

func (a *Autoscaler) removeRequest(request *provisioningRequest) {
	a.requests = slices.DeleteFunc(a.requests, func(x *provisioningRequest) bool { return x == request })
	a.store.Remove(a.context.Monotonic(), request, request.deferredCommitWaiter())
}

// createRequest records a request for up to count machines, which is sent once it is durable.
// It returns the number of machines requested, or 0 if too many requests are unanswered.
func (a *Autoscaler) createRequest(d machineDemand, count int) int {
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
	for request.Count > 1 && !a.store.Fits(request) { // the answer has to fit on a page, too
		request.Count /= 2
	}
	a.requests = append(a.requests, request)
	a.store.MarkDirty(a.context.Monotonic(), request, request.commitWaiter(storage.OnCommit, func() {
		request.committed = true
		a.nextPlanAt = 0
	}))
	return request.Count
}

// handleScaleOut processes the cloud's answer to a request for machines.
func (a *Autoscaler) handleScaleOut(request *provisioningRequest, result message.CloudResult) {
	request.inFlight = false
	a.nextPlanAt = 0 // another request may be waiting for this connection
	switch result.Outcome {
	case rpc.OK:
		a.recordProvisioned(request, result.Machines)
	case rpc.NotFound, rpc.Invalid: // no capacity, or a malformed request
		if result.Outcome == rpc.Invalid {
			a.context.Log(message.Error, "cloud rejected a provisioning request", "type", request.Type, "zone", request.Zone, "count", request.Count)
		}
		a.markOutOfCapacity(request)
		a.removeRequest(request)
	default:
		// The cloud may have served the request. Repeating it with the same ID doesn't provision
		// the machines twice.
		request.retryAt = a.context.Monotonic() + a.timing.HeartbeatInterval/cloudRetriesPerHeartbeat
	}
}

func (a *Autoscaler) recordProvisioned(request *provisioningRequest, names []string) {
	now := a.context.Monotonic()
	request.Answered, request.Machines = true, names
	a.context.Stats.MachinesProvisioned += int64(len(names))
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
		a.markOutOfCapacity(request)
	}
	a.store.MarkDirty(now, request, request.deferredCommitWaiter())
}

func (a *Autoscaler) markOutOfCapacity(request *provisioningRequest) {
	o := cluster.Offering{Type: request.Type, Zone: request.Zone, Spot: request.Spot}
	a.outOfCapacity[o] = a.context.Monotonic() + outOfCapacityLeases*a.timing.Lease
}
