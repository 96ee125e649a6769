"""Elections: pre-vote, vote and becoming leader."""

from __future__ import annotations

from lagoonwing_consensus import _lease, _roles, _sending
from lagoonwing_consensus._replica_sets import quorum_size
from lagoonwing_consensus._state import Progress, ReplicaState
from lagoonwing_consensus.messages import VoteReply, VoteRequest
from lagoonwing_consensus.models import Entry, EntryKind, ReplicaRole
from lagoonwing_core.ids import LogIndex, Term


def tick(state: ReplicaState, now: float) -> None:
    """Start an election or step down when a timeout has expired."""
    if state.role is ReplicaRole.LEADER:
        if has_lost_quorum(state, now) or should_step_down_as_non_voter(state):
            _roles.become_follower(state, state.term, None, now)
        return
    if now < state.election_deadline:
        return
    if may_campaign(state):
        start_pre_vote(state, now)


def may_campaign(state: ReplicaState) -> bool:
    """Return whether this replica may start an election.

    Besides voters, a non-voter may campaign if a candidate with a shorter log has requested its
    vote: that candidate counts votes by a replica set which this log doesn't contain, and this
    log may be the only one long enough to win. Such a leader doesn't count its own vote.
    """
    return state.replica_id in state.sets.voter_ids or state.may_campaign_as_non_voter


def should_step_down_as_non_voter(state: ReplicaState) -> bool:
    """Return whether this leader is not a voter and its replica set is committed."""
    if state.replica_id in state.sets.voter_ids:
        return False
    return _roles.is_term_ready(state) and state.sets.current_index <= state.commit


def has_lost_quorum(state: ReplicaState, now: float) -> bool:
    """Return whether no quorum has confirmed this leader within the election timeout."""
    confirmed_at = _lease.quorum_confirmed_at(state, now)
    since = state.elected_at if confirmed_at is None else confirmed_at
    return now >= since + state.settings.election_max_s


def start_pre_vote(state: ReplicaState, now: float) -> None:
    """Start a pre-vote, which leaves the term unchanged."""
    state.role = ReplicaRole.PRE_CANDIDATE
    state.leader_id = None
    _send_vote_requests(state, now, Term(state.term + 1), pre_vote=True)
    if _has_won(state):
        start_election(state, now)


def start_election(state: ReplicaState, now: float) -> None:
    """Start a new term and request votes."""
    state.role = ReplicaRole.CANDIDATE
    state.term = Term(state.term + 1)
    state.vote = state.replica_id
    state.persist_hard_state()
    _send_vote_requests(state, now, state.term, pre_vote=False)
    if _has_won(state):
        become_leader(state, now)


def handle_vote_request(state: ReplicaState, request: VoteRequest, now: float) -> None:
    """Grant or deny a vote."""
    if _lease.is_vote_blocked_by_lease(state, now) and not has_leader_stepped_down(state, request):
        # Adopting the term would let a replica that was partitioned depose the leader.
        _reply(state, request, state.term, granted=False)
        return
    if not is_up_to_date(state, request):
        state.may_campaign_as_non_voter = True
    if request.pre_vote:
        granted = request.term > state.term and is_up_to_date(state, request)
        _reply(state, request, request.term if granted else state.term, granted=granted)
        return
    if request.term > state.term:
        _roles.become_follower(state, request.term, None, now)
    granted = may_grant_vote(state, request)
    if granted:
        state.vote = request.sender
        state.persist_hard_state()
        _roles.reset_election_deadline(state, now)
    _reply(state, request, state.term, granted=granted)


def has_leader_stepped_down(state: ReplicaState, request: VoteRequest) -> bool:
    """Return whether the sender is the last leader and has stepped down.

    A leader that requests votes in a later term has stepped down or restarted. A delayed request
    from before it led has a term no later than the one in which it led.
    """
    if state.role is ReplicaRole.LEADER or request.sender != state.last_leader_id:
        return False
    return request.term > state.term


def may_grant_vote(state: ReplicaState, request: VoteRequest) -> bool:
    """Return whether this replica may vote for the sender in the current term."""
    if request.term != state.term:
        return False
    if state.vote is not None and state.vote != request.sender:
        return False
    return is_up_to_date(state, request)


def is_up_to_date(state: ReplicaState, request: VoteRequest) -> bool:
    """Return whether the sender's log is at least as up to date as this one."""
    local = (state.log.last_term, state.log.last_index)
    return (request.last_term, request.last_index) >= local


def handle_vote_reply(state: ReplicaState, reply: VoteReply, now: float) -> None:
    """Count a vote."""
    if not reply.granted:
        if reply.term > state.term:
            _roles.become_follower(state, reply.term, None, now)
        return
    if reply.pre_vote:
        if state.role is ReplicaRole.PRE_CANDIDATE and reply.term == state.term + 1:
            state.granted_ids.add(reply.sender)
            if _has_won(state):
                start_election(state, now)
        return
    if state.role is ReplicaRole.CANDIDATE and reply.term == state.term:
        state.granted_ids.add(reply.sender)
        if _has_won(state):
            become_leader(state, now)


def become_leader(state: ReplicaState, now: float) -> None:
    """Become leader and append a no-op entry.

    Entries of earlier terms are committed only together with an entry of the current term.
    """
    state.role = ReplicaRole.LEADER
    state.leader_id = state.replica_id
    state.elected_at = now
    state.record_last_leader(state.replica_id)
    next_index = LogIndex(state.log.last_index + 1)
    state.progress_by_id = {
        peer.replica_id: Progress(next_index, LogIndex(0), heard_at=now) for peer in state.peers()
    }
    state.term_start_index = next_index
    state.append(Entry(next_index, state.term, EntryKind.NO_OP))
    _sending.broadcast(state, now)


def _send_vote_requests(state: ReplicaState, now: float, term: Term, *, pre_vote: bool) -> None:
    """Send vote requests to all other voters and schedule the retry."""
    settings = state.settings
    state.election_deadline = now + state.random.uniform(
        settings.election_retry_min_s, settings.election_retry_max_s
    )
    state.granted_ids = {state.replica_id}
    for voter_id in sorted(state.sets.voter_ids - {state.replica_id}):
        state.output.messages.append(
            VoteRequest(
                sender=state.replica_id,
                receiver=voter_id,
                term=term,
                last_index=state.log.last_index,
                last_term=state.log.last_term,
                pre_vote=pre_vote,
            )
        )


def _has_won(state: ReplicaState) -> bool:
    """Return whether a majority of the voters has granted its vote."""
    voter_ids = state.sets.voter_ids
    return len(state.granted_ids & voter_ids) >= quorum_size(len(voter_ids))


def _reply(state: ReplicaState, request: VoteRequest, term: Term, *, granted: bool) -> None:
    """Reply to a vote request."""
    state.output.messages.append(
        VoteReply(
            sender=state.replica_id,
            receiver=request.sender,
            term=term,
            granted=granted,
            pre_vote=request.pre_vote,
        )
    )
