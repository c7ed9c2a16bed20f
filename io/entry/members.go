package entry

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"shallotcleat/core/config"
	"shallotcleat/core/member"
	"shallotcleat/core/stamp"
	"shallotcleat/io/vmlist"
	"shallotcleat/io/watch"
	"shallotcleat/io/wire"
)

// Limits of polling agents for their status.
const (
	pollPeriod    = time.Second
	pollBatchSize = 10
	// maxLeavingPolls bounds the polls of agents that are leaving, in addition to a batch. An agent that starts again at its address gets no
	// requests before a status of its new run; a round through 3,100 agents takes 310 s.
	maxLeavingPolls = 5
	// maxStartupPolls bounds the agents that a starting entry polls before it serves.
	maxStartupPolls = 64
	pollTimeout     = time.Second
	// maxHotPrefixPeers bounds the peers that a starting entry asks for hot prefixes.
	maxHotPrefixPeers = 3
)

// updateMembers replaces the board's servers by those of the VM list and the configuration.
func (en *Entry) updateMembers() { en.updateMembersFrom(en.board.Snapshot()) }

func (en *Entry) updateMembersFrom(sn *config.Snapshot) {
	var head config.Head
	if sn != nil {
		head = sn.Head()
	}
	var servers []*member.Server
	for _, vm := range en.vms.Latest() {
		if vm.Role == vmlist.RoleAgent && !vm.Leaving && !head.IsRetired(vm.Address) {
			servers = append(servers, member.NewServer(vm.Address, vm.Zone, vm.Service))
		}
	}
	for _, as := range head.Added() {
		if !head.IsRetired(as.Address()) {
			servers = append(servers, member.NewServer(as.Address(), as.Zone(), as.Service()))
		}
	}
	en.board.Members().Replace(servers)
}

// peers returns the other entries of the VM list.
func (en *Entry) peers() []watch.Exchanger {
	var peers []watch.Exchanger
	for _, vm := range en.vms.Latest() {
		if vm.Role == vmlist.RoleEntry && vm.Address != en.opts.PeerAddress {
			peers = append(peers, en.pool.Peer(vm.Address))
		}
	}
	return peers
}

// fetchHotPrefixes gets the hot prefixes of some peers, so that this entry places requests as they do from the first one on.
func (en *Entry) fetchHotPrefixes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout/2)
	defer cancel()
	var wg conc.WaitGroup
	peers := en.peers()
	for _, peer := range peers[:min(maxHotPrefixPeers, len(peers))] {
		wg.Go(func() {
			rq := &wire.ExchangeRequest{Context: &wire.Context{Stamp: uint64(en.rec.Stamp())}, WantHeat: true}
			reply, err := peer.Exchange(ctx, rq)
			if err == nil && reply.GetHeat() != nil {
				en.chooser.Warm(en.clock.Now(), reply.GetHeat().ToHotPrefixes())
			}
		})
	}
	wg.Wait()
}

// recordStatus records the status from an agent's reply; a nil status is ignored.
func (en *Entry) recordStatus(address string, st *wire.Status) {
	if st == nil {
		return
	}
	en.rec.Observe(stamp.Stamp(st.GetStamp()))
	en.board.Members().RecordStatus(time.Now(), address, st.ToStatus())
}

// fetchConfig gets the configuration of an agent that refused a request because it has a newer one.
func (en *Entry) fetchConfig(ctx context.Context, address string) {
	if err := en.watcher.SyncWith(ctx, en.pool.Agent(address)); err != nil {
		en.rec.Log().WithError(err).Debug("fetching the agent's configuration failed")
	}
}

// pollAtStart polls agents for their status at startup, so that the first requests are placed with current data. With up to
// maxStartupPolls agents, all are polled; the number is bounded because many entries may start at once.
func (en *Entry) pollAtStart(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout/2)
	defer cancel()
	en.pollServers(ctx, en.nextPollTargets(maxStartupPolls))
}

// pollNextBatch polls the next agents for their status, so that servers without requests have a status and recovered servers are
// detected, and of some that are leaving. The number of polls per period does not depend on the number of agents.
func (en *Entry) pollNextBatch(ctx context.Context) {
	targets := en.nextPollTargets(pollBatchSize)
	en.pollServers(ctx, append(targets, en.nextLeavingTargets(targets)...))
}

// nextLeavingTargets returns servers that are leaving to poll, at most maxLeavingPolls, in round-robin order and without those in others.
func (en *Entry) nextLeavingTargets(others []*member.Server) []*member.Server {
	var leaving []*member.Server
	for _, sv := range en.board.Members().View().All() {
		if sv.Status().Leaving() && !slices.Contains(others, sv) {
			leaving = append(leaving, sv)
		}
	}
	targets := make([]*member.Server, 0, maxLeavingPolls)
	for range min(maxLeavingPolls, len(leaving)) {
		targets = append(targets, leaving[en.nextLeavingPoll%uint64(len(leaving))])
		en.nextLeavingPoll++
	}
	return targets
}

// nextPollTargets returns the next servers to poll, at most limit, in round-robin order.
func (en *Entry) nextPollTargets(limit int) []*member.Server {
	all := en.board.Members().View().All()
	targets := make([]*member.Server, 0, limit)
	for range min(limit, len(all)) {
		targets = append(targets, all[en.nextPoll%uint64(len(all))])
		en.nextPoll++
	}
	return targets
}

func (en *Entry) pollServers(ctx context.Context, servers []*member.Server) {
	var wg conc.WaitGroup
	for _, sv := range servers {
		wg.Go(func() { en.pollServer(ctx, sv.Address()) })
	}
	wg.Wait()
}

func (en *Entry) pollServer(parent context.Context, address string) {
	ctx, cancel := context.WithTimeout(parent, pollTimeout)
	defer cancel()
	rq := &wire.ExchangeRequest{
		Context:     &wire.Context{Stamp: uint64(en.rec.Stamp()), Epoch: en.board.Epoch()},
		StoredTries: en.usageWriter.TakeConfirmed(address),
	}
	reply, err := en.pool.Agent(address).Exchange(ctx, rq)
	if err != nil {
		if parent.Err() == nil {
			en.board.Members().RecordFailure(time.Now(), address)
		}
		return
	}
	en.recordStatus(address, reply.GetStatus())
}
