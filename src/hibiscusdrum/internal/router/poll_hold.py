"""How long the store may hold a poll for changes, and when a held poll ends before its time.

It handles the load of the polls of a large fleet in which nothing changes. A short poll detects a connection
that died without a reset. A long one is safe only while others show what the poll cannot: that the known rows
are the newest ones, and that the store is reachable.
"""

from __future__ import annotations

import random

SHORT_HOLD_SECONDS = 3.0
CHECK_INTERVAL_SECONDS = 0.1
# The table service holds a poll for at most this time.
MAX_HOLD_SECONDS = 30.0
# Holds last a random time from this one on. A change ends the polls of all nodes at once; some must end soon
# after it, so that their answers confirm the rows of the others.
MIN_LONG_HOLD_SECONDS = 1.0
# Smaller fleets use short polls: with few nodes, too few answers confirm the rows of each other.
LARGE_FLEET_NODES = 50
# Time on the store's clock for which rows may be unconfirmed. A short poll may be unanswered for 3.5 s, and
# after 4 s without a confirmation a node does not deny unknown routes any more.
MAX_CONFIRMED_AGE_SECONDS = 3.0
# The same by peers alone, for a poll to be held at all. It exceeds the duration of a short poll, because
# polls of all nodes that end together leave peers with stamps that are as old as these polls.
MAX_PEER_AGE_SECONDS = 5.0
# Time since an answered call was sent after which the store counts as doubtful. The next poll then ends
# within 3.5 s of that call, as early as a short poll sent at the same time.
MAX_ANSWER_AGE_SECONDS = 2.9
# Calls other than polls count as regular once they have been answered at intervals of at most
# ``MAX_ANSWER_AGE_SECONDS`` for this time, two renewals of a lease. A poll that is held because of a single
# call would end soon, and cost more calls than short polls.
MIN_STREAK_SECONDS = 5.0
# A poll ends if the store has not answered it this long after a peer had newer rows. Answers usually take
# 4 ms, and up to 1 s over a congested link, which withdrawn polls would congest further.
NEWER_ROWS_GRACE_SECONDS = 1.0
# After a poll that ended because of a peer's newer rows, polls are short for this time, so that a peer whose
# rows never match costs few calls.
SHORT_AFTER_NEWER_SECONDS = 10.0


class AnswerStreak:
    """Since when calls have been answered at short intervals; times are monotonic seconds.

    Attributes
    ----------
    since : float
        When the first call of the streak was sent.
    last_at : float
        When the last answered call was sent.
    """

    __slots__ = ("last_at", "since")

    def __init__(self) -> None:
        self.since = self.last_at = float("-inf")

    def record(self, sent_at: float) -> None:
        """Record an answered call."""
        if sent_at <= self.last_at:
            return
        if sent_at - self.last_at > MAX_ANSWER_AGE_SECONDS:
            self.since = sent_at
        self.last_at = sent_at

    def age(self, now: float) -> float:
        """Return the time since the sending of the last answered call."""
        return now - self.last_at

    def duration(self, now: float) -> float:
        """Return the time between the first and the last call of the streak; 0 if it has ended."""
        return self.last_at - self.since if self.age(now) <= MAX_ANSWER_AGE_SECONDS else 0.0


class PollConditions:
    """What a node knows at one moment about the rows of a table and about the store.

    Attributes
    ----------
    nodes : int
        Known nodes of the fleet.
    confirmed_age : float
        Seconds since the rows were known to be the newest; infinite if unknown.
    peer_age : float
        The same, by the confirmations of peers alone.
    store_reachable : bool
        Whether the last poll of the members' table succeeded.
    answer_age : float
        Seconds since the sending of the last call that the store answered; 0 where other polls detect that it
        is silent.
    streak_seconds : float
        Duration of the streak of other answered calls than polls; infinite where none are needed.
    """

    __slots__ = ("answer_age", "confirmed_age", "nodes", "peer_age", "store_reachable", "streak_seconds")

    def __init__(
        self,
        nodes: int,
        confirmed_age: float,
        peer_age: float,
        store_reachable: bool,
        answer_age: float = 0.0,
        streak_seconds: float = float("inf"),
    ) -> None:
        self.nodes = nodes
        self.confirmed_age = confirmed_age
        self.peer_age = peer_age
        self.store_reachable = store_reachable
        self.answer_age = answer_age
        self.streak_seconds = streak_seconds


class PollHold:
    """Decides on the polls of one table; times are monotonic seconds.

    Attributes
    ----------
    long : bool
        Whether the current poll may be held for longer than a short one.
    ask_at_once : bool
        Whether the next poll must be answered at once, since the former one ended early.
    newer_since : float or None
        When a peer first had newer rows since the store last answered.
    short_until : float
        Time until which polls are short.
    rows_arrived : bool
        Whether the last answer brought rows, as did those to the polls of other nodes at the same time.
    seconds : float
        Time for which the store may hold the current poll.
    """

    __slots__ = ("ask_at_once", "long", "newer_since", "rng", "rows_arrived", "seconds", "short_until")

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.long = False
        self.ask_at_once = False
        self.newer_since: float | None = None
        self.short_until = float("-inf")
        self.rows_arrived = False
        self.seconds = SHORT_HOLD_SECONDS

    def begin(self, now: float, conditions: PollConditions) -> float:
        """Return the seconds for which the store may hold a poll that is sent now."""
        self.seconds = self.choose(now, conditions)
        self.rows_arrived = False
        return self.seconds

    def choose(self, now: float, conditions: PollConditions) -> float:
        """Choose the duration of a poll."""
        self.long = False
        if self.ask_at_once:
            self.ask_at_once = False
            return 0.0
        if conditions.nodes < LARGE_FLEET_NODES:
            return SHORT_HOLD_SECONDS
        if (
            now < self.short_until
            or self.newer_since is not None
            or not conditions.peer_age <= MAX_PEER_AGE_SECONDS
            or conditions.streak_seconds < MIN_STREAK_SECONDS
            or self.doubt(conditions)
        ):
            # Polls that ended together must not end together again, or nobody confirms rows in between.
            first = MIN_LONG_HOLD_SECONDS if self.rows_arrived else SHORT_HOLD_SECONDS
            return self.rng.uniform(first, SHORT_HOLD_SECONDS)
        self.long = True
        return self.rng.uniform(MIN_LONG_HOLD_SECONDS, MAX_HOLD_SECONDS)

    def doubt(self, conditions: PollConditions) -> str:
        """Return why rows or the store are in doubt; empty if they are not."""
        if not conditions.store_reachable:
            return "store_lost"
        if not conditions.confirmed_age <= MAX_CONFIRMED_AGE_SECONDS:
            return "unconfirmed"
        if not conditions.answer_age <= MAX_ANSWER_AGE_SECONDS:
            return "store_silent"
        return ""

    def reason_to_end(self, now: float, conditions: PollConditions) -> str:
        """Return why the current poll must end now; empty if it goes on."""
        if not self.long:
            return ""
        if self.newer_since is not None and now - self.newer_since >= NEWER_ROWS_GRACE_SECONDS:
            return "newer_rows"
        return self.doubt(conditions)

    def end_early(self, now: float, reason: str) -> None:
        """Record that the current poll was withdrawn."""
        self.long = False
        self.ask_at_once = True
        if reason == "newer_rows":
            self.short_until = now + SHORT_AFTER_NEWER_SECONDS

    def record_newer(self, now: float) -> None:
        """Record that a peer has newer rows than this node."""
        if self.newer_since is None:
            self.newer_since = now

    def record_answer(self, rows_arrived: bool = False) -> bool:
        """Record that a poll has ended, with an answer or a failure.

        Returns whether peers should be told of its stamp: it was no short poll, of which there are enough.
        """
        self.long = False
        self.newer_since = None
        self.rows_arrived = rows_arrived
        return self.seconds == 0.0 or self.seconds > SHORT_HOLD_SECONDS
