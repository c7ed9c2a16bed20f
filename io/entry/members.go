package entry

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"shallotcleat/core/config"
	"shallotcleat/core/member"
	"shallotcleat/core/stamp"
	"shallotcleat/io/vmlist"
	"shallotcleat/io/watch"
	"shallotcleat/io/wire"
)

// Limits of the rounds in which an entry asks agents for their status.
const (
	pollPeriod  = time.Second
	pollsAtOnce = 10
	// pollsAtStart bounds the agents that a starting entry asks before it serves.
	pollsAtStart = 64
	pollTimeout  = time.Second
	// warmPeers is how many peers a starting entry asks for their hot prefixes.
	warmPeers = 3
)

// updateMembers makes the board's servers those of the VM list and the configuration.
func (en *Entry) updateMembers() { en.updateMembersOf(en.board.Snapshot()) }

func (en *Entry) updateMembersOf(sn *config.Snapshot) {
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
	for _, mb := range head.Added() {
		if !head.IsRetired(mb.Address()) {
			servers = append(servers, member.NewServer(mb.Address(), mb.Zone(), mb.Service()))
		}
	}
	en.board.Members().Replace(servers)
}

// peers returns the other entries.
func (en *Entry) peers() []watch.Exchanger {
	var peers []watch.Exchanger
	for _, vm := range en.vms.Latest() {
		if vm.Role == vmlist.RoleEntry && vm.Address != en.opts.PeerAddress {
			peers = append(peers, en.pool.Peer(vm.Address))
		}
	}
	return peers
}

// warm takes the hot prefixes of some peers, so that this entry places as they do from its first request on.
func (en *Entry) warm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout/2)
	defer cancel()
	var wg conc.WaitGroup
	peers := en.peers()
	for _, peer := range peers[:min(warmPeers, len(peers))] {
		wg.Go(func() {
			rq := &wire.ExchangeRequest{Context: &wire.Context{Stamp: uint64(en.rec.Stamp())}, WantHeat: true}
			reply, err := peer.Exchange(ctx, rq)
			if err == nil && reply.GetHeat() != nil {
				en.chooser.Warm(en.clock.Now(), reply.GetHeat().ToHeat())
			}
		})
	}
	wg.Wait()
}

// heard notes the status in an agent's reply.
func (en *Entry) heard(address string, st *wire.Status) {
	if st == nil {
		return
	}
	en.rec.Observe(stamp.Stamp(st.GetStamp()))
	en.board.Members().RecordStatus(time.Now(), address, st.ToStatus())
}

// catchUp gets the configuration of an agent that refused a request since it knows a later one.
func (en *Entry) catchUp(ctx context.Context, address string) {
	if err := en.watcher.SyncWith(ctx, en.pool.Agent(address)); err != nil {
		en.rec.Log().WithError(err).Debug("the agent's configuration can't be had")
	}
}

// pollFirst asks agents for their status at the start, so that the first requests are placed with what they tell. At
// today's sizes these are all agents; with more the number is bounded, since entries may start in herds.
func (en *Entry) pollFirst(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout/2)
	defer cancel()
	en.pollSome(ctx, en.nextServers(pollsAtStart))
}

// pollNext asks the next agents for their status, so that a server without requests is known too and a mended one is
// found again. The number of questions in a period is bounded, whatever the number of agents.
func (en *Entry) pollNext(ctx context.Context) {
	en.pollSome(ctx, en.nextServers(pollsAtOnce))
}

// nextServers returns the next servers to poll, round robin, at most limit of them.
func (en *Entry) nextServers(limit int) []*member.Server {
	all := en.board.Members().View().All()
	turn := make([]*member.Server, 0, limit)
	for range min(limit, len(all)) {
		turn = append(turn, all[en.polled%uint64(len(all))])
		en.polled++
	}
	return turn
}

func (en *Entry) pollSome(ctx context.Context, servers []*member.Server) {
	var wg conc.WaitGroup
	for _, sv := range servers {
		wg.Go(func() { en.pollOne(ctx, sv.Address()) })
	}
	wg.Wait()
}

func (en *Entry) pollOne(parent context.Context, address string) {
	ctx, cancel := context.WithTimeout(parent, pollTimeout)
	defer cancel()
	rq := &wire.ExchangeRequest{
		Context:     &wire.Context{Stamp: uint64(en.rec.Stamp()), Epoch: en.board.Epoch()},
		StoredTries: en.bill.TakeConfirmed(address),
	}
	reply, err := en.pool.Agent(address).Exchange(ctx, rq)
	if err != nil {
		if parent.Err() == nil {
			en.board.Members().RecordFailure(time.Now(), address)
		}
		return
	}
	en.heard(address, reply.GetStatus())
}
