"""Elections: pre-vote, vote, and the step to leadership."""

from __future__ import annotations

from lagoonwing_consensus import _lease, _roles, _sending
from lagoonwing_consensus._replica_sets import quorum_size
from lagoonwing_consensus._state import Progress, ReplicaState
from lagoonwing_consensus.messages import VoteReply, VoteRequest
from lagoonwing_consensus.models import Entry, EntryKind, ReplicaRole
from lagoonwing_core.ids import LogIndex, Term


def tick(state: ReplicaState, now: float) -> None:
    """Start an election, or give leadership up, when its time has come."""
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

    Besides the voters, one that a candidate with a shorter log has asked for its vote: it votes
    by a set that this log doesn't hold, and only this log may be long enough to win. It then
    leads without counting itself.
    """
    return state.replica_id in state.sets.voter_ids or state.may_campaign_as_non_voter


def should_step_down_as_non_voter(state: ReplicaState) -> bool:
    """Return whether this leader has no vote and has brought the voters up to its log."""
    if state.replica_id in state.sets.voter_ids:
        return False
    return _roles.is_term_ready(state) and state.sets.current_index <= state.commit


def has_lost_quorum(state: ReplicaState, now: float) -> bool:
    """Return whether too few voters have followed this leader for too long."""
    confirmed_at = _lease.quorum_confirmed_at(state, now)
    since = state.elected_at if confirmed_at is None else confirmed_at
    return now >= since + state.settings.election_max_s


def start_pre_vote(state: ReplicaState, now: float) -> None:
    """Ask whether an election would be won, without starting a term."""
    state.role = ReplicaRole.PRE_CANDIDATE
    state.leader_id = None
    _send_vote_requests(state, now, Term(state.term + 1), pre_vote=True)
    if _has_won(state):
        start_election(state, now)


def start_election(state: ReplicaState, now: float) -> None:
    """Start a term and ask for votes in it."""
    state.role = ReplicaRole.CANDIDATE
    state.term = Term(state.term + 1)
    state.vote = state.replica_id
    state.persist_hard_state()
    _send_vote_requests(state, now, state.term, pre_vote=False)
    if _has_won(state):
        become_leader(state, now)


def handle_vote_request(state: ReplicaState, request: VoteRequest, now: float) -> None:
    """Give or refuse a vote."""
    if _lease.is_vote_blocked_by_lease(state, now) and not has_leader_stepped_down(state, request):
        # The term isn't taken over either, or a replica that was cut off would unseat the leader.
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
    """Return whether the sender holds this replica's promise and leads no more.

    A leader that asks for votes in a later term has stepped down or restarted. An older request
    of its own, from before it led, names no term later than the one in which it was followed.
    """
    if state.role is ReplicaRole.LEADER or request.sender != state.last_leader_id:
        return False
    return request.term > state.term


def may_grant_vote(state: ReplicaState, request: VoteRequest) -> bool:
    """Return whether the vote of this term may go to the sender."""
    if request.term != state.term:
        return False
    if state.vote is not None and state.vote != request.sender:
        return False
    return is_up_to_date(state, request)


def is_up_to_date(state: ReplicaState, request: VoteRequest) -> bool:
    """Return whether the sender's log holds all that this one may have accepted."""
    own = (state.log.last_term, state.log.last_index)
    return (request.last_term, request.last_index) >= own


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
    """Lead, beginning with an empty entry of the own term.

    Entries of former terms count as accepted only together with one of the leader's own.
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
    """Send vote requests to every other voter and arm the retry."""
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
    """Return whether a majority of the voters is for this replica."""
    voter_ids = state.sets.voter_ids
    return len(state.granted_ids & voter_ids) >= quorum_size(len(voter_ids))


def _reply(state: ReplicaState, request: VoteRequest, term: Term, *, granted: bool) -> None:
    """Answer a vote request."""
    state.output.messages.append(
        VoteReply(
            sender=state.replica_id,
            receiver=request.sender,
            term=term,
            granted=granted,
            pre_vote=request.pre_vote,
        )
    )
