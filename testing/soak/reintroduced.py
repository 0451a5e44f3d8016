"""Known faults that are put back at run time, to show that the soak finds them.

Each replaces functions of a process that `launch` starts; the product has no
hook for them. `_replace` raises an exception if a function was renamed or
moved, because the check that a process ends by itself would then find any
fault.
"""

from collections.abc import Callable
import inspect
from typing import Any
from typing import NamedTuple

import eventlet
from eventlet import hubs

from mintcleat.adapters import http1_server
from mintcleat.adapters import wal
from mintcleat.consensus import lease
from mintcleat.consensus import types
from mintcleat.decisions import answer_end
from mintcleat.decisions import event_order
from mintcleat.decisions import granted_turns
from mintcleat.decisions import stop_times
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import stream_origins
from mintcleat.platform import upstream_replies
from mintcleat.platform import upstreams
from mintcleat.roles.control.replication import application
from mintcleat.roles.control.replication import replication
from mintcleat.roles.entry import end_confirmation
from mintcleat.roles.entry import gateway
from mintcleat.roles.entry import response_relay
from mintcleat.roles.entry import running_stream
from mintcleat.roles.entry import stream_move
from mintcleat.roles.entry import stream_origins as entry_origins

# Far longer than the third of a second for which voters elect nobody else.
_LONG_LEASE_SECONDS = 3.0
# Longer than the time in which a change must be in force.
_TABLE_SECONDS = 6.0


class Reintroduced(NamedTuple):
    """A fault that the product avoids.

    Attributes:
        install: Patches the running process.
        rules: Names of the checks that find it.
    """

    install: Callable[[], None]
    rules: frozenset[str]


def _replace(owner: Any, name: str, function: Callable) -> None:
    """Replaces a function of a module or class.

    Raises:
        AttributeError: There is none of this name.
        TypeError: Its parameters differ, so that the replacement would fail
            where the fault should show.
    """
    old = list(inspect.signature(getattr(owner, name)).parameters)
    new = list(inspect.signature(function).parameters)
    if old != new:
        raise TypeError(f"{name} has the parameters {old}, not {new}.")
    setattr(owner, name, function)


def _lease_without_margin() -> None:
    """The lease outlasts the voters' promise, and counts from the answer."""
    acknowledge = lease.acknowledge

    def acknowledge_now(
        replica: Any, sender: Any, sent: float, now: float
    ) -> None:
        acknowledge(replica, sender, now, now)

    def left_of_long_lease(replica: Any, now: float) -> float:
        if replica.role != types.LEADER:
            return 0.0
        return lease.quorum_contact(replica) + _LONG_LEASE_SECONDS - now

    _replace(lease, "acknowledge", acknowledge_now)
    _replace(lease, "left", left_of_long_lease)


def _answer_before_commit() -> None:
    """The leader answers a proposal before a majority has it."""
    results: dict[tuple[str, int, int], Any] = {}
    apply_one = application._apply_one

    def propose(self: Any, group: str, command: bytes, timeout: float) -> Any:
        running = self._running(group)
        now = self.timers.now()
        replica = running.core.replicas[group]
        ticket = replica.propose(command, now)
        if ticket is None:
            raise errors.NotLeader(self._other_leader(group))
        term, index = ticket
        result = self.machines[group].apply(index, command)
        results[group, term, index] = result
        running.wake()
        if isinstance(result, errors.MintcleatError):
            raise result
        return result

    def apply_unless_applied(group: str, machine: Any, entry: Any) -> Any:
        key = group, entry.term, entry.index
        if key in results:
            return results.pop(key)
        return apply_one(group, machine, entry)

    _replace(replication.GroupLog, "propose", propose)
    _replace(application, "_apply_one", apply_unless_applied)


def _identity_outlives_disk() -> None:
    """A replica that has lost its disk votes under its old identity."""
    open_log = wal.FileWal.open

    def open_as_before(self: Any, node: identities.Incarnation) -> Any:
        return open_log(self, identities.Incarnation(node.instance, 1))

    _replace(wal.FileWal, "open", open_as_before)


def _slot_not_released() -> None:
    """A granted turn counts as running until its CloseTurn arrives."""

    def expire_reports(
        self: Any, now: float, limit: float
    ) -> list[granted_turns.EndedTurn]:
        del limit  # No turn is removed.
        self.reports.expire(now, self.pauses)
        return []

    def keep_ended(self: Any, entry: Any, keys: Any, now: float) -> None:
        del self, entry, keys, now

    def keep_silent(
        self: Any, now: float, seconds: float, limit: float
    ) -> None:
        del self, now, seconds, limit

    _replace(granted_turns.GrantedTurns, "expire", expire_reports)
    _replace(granted_turns.GrantedTurns, "report_ended", keep_ended)
    _replace(granted_turns.GrantedTurns, "drop_silent", keep_silent)


def _refused_but_runs() -> None:
    """A request without a response counts as not run."""
    send = upstreams.HttpUpstreamClient.send

    def send_or_refuse(
        self: Any, upstream: Any, call: Any, request: Any
    ) -> Any:
        try:
            return send(self, upstream, call, request)
        except errors.StreamClosed as error:
            raise errors.NoUpstream(error.detail) from error

    _replace(upstreams.HttpUpstreamClient, "send", send_or_refuse)


def _unbounded_buffer() -> None:
    """What a caller doesn't read is kept in memory without a bound."""
    pending: dict[Any, list[bytes]] = {}

    def send_all(self: Any) -> None:
        waiting = pending[self]
        try:
            while waiting:
                try:
                    sent = self.sock.fd.send(waiting[0])
                    waiting[0] = waiting[0][sent:]
                    if not waiting[0]:
                        waiting.pop(0)
                except BlockingIOError:
                    hubs.trampoline(self.sock.fileno(), write=True)
        except OSError:
            pass
        finally:
            del pending[self]

    def send_bytes(self: Any, data: bytes) -> None:
        if not data:
            return
        if self in pending:
            pending[self].append(data)
            return
        pending[self] = [data]
        eventlet.spawn(send_all, self)

    _replace(http1_server.Connection, "_send_bytes", send_bytes)


def _quiet_end_is_whole() -> None:
    """A stream whose connection is closed in order counts as whole."""

    def of_stream(end: Any, stream: Any) -> Any:
        del stream
        return end

    _replace(answer_end, "of_stream", of_stream)


def _crash_is_whole() -> None:
    """An answer that a crash ended between two events counts as whole."""

    def confirm(self: Any, upstream: Any, end: Any, is_stream: Any) -> Any:
        del self, upstream, is_stream
        return end

    _replace(end_confirmation.EndConfirmation, "confirm", confirm)


def _quiet_end_for_callers() -> None:
    """A broken response without chunks ends as a whole one does."""

    def never_reset(self: Any, resets: bool) -> None:
        del self, resets

    _replace(http1_server.Connection, "_reset_on_close", never_reset)


def _any_version() -> None:
    """Streams go on at whatever upstream is there."""

    def allows(self: Any, service: str, version: str) -> bool:
        return True

    def check_origin(self: Any) -> None:
        self.versions.append(self.upstream.version)

    def find(
        self: Any, call: Any, route: Any, service: str
    ) -> stream_origins.KnownOrigin:
        # Its record and what is allowed need a version, but not a true one.
        return stream_origins.KnownOrigin(
            stream_origins.StreamOrigin(service, "any"),
            stream_origins.Source.ONLY,
        )

    _replace(stream_origins.KnownOrigin, "allows", allows)
    _replace(response_relay.ResponseRelay, "_check_origin", check_origin)
    _replace(entry_origins.StreamOrigins, "find", find)


def _any_gap() -> None:
    """A gap in the ids of a stream is taken for its upstream's choice."""

    def skips(self: Any, number: Any) -> bool:
        return False

    _replace(event_order.EventOrder, "_skips", skips)


def _unasked_is_taken() -> None:
    """An answer that states no request counts as that to the current one."""
    is_of = upstream_replies._is_of

    def is_of_none(head: Any, sent: Any) -> bool:
        return "x-request-id" not in dict(head.fields) or is_of(head, sent)

    _replace(upstream_replies, "_is_of", is_of_none)


def _any_order() -> None:
    """Whatever an upstream sends is added to the stream."""

    def place(self: Any, event: Any) -> event_order.Place:
        return event_order.Place.NEXT

    _replace(event_order.EventOrder, "place", place)


def _own_directory() -> None:
    """A take-up that names nothing goes on at a version of the entry's own."""

    def only(self: Any, call: Any, route: Any, service: str) -> Any:
        versions = sorted(self.loads.versions.get(service, ()))
        if not versions:
            return None
        return stream_origins.KnownOrigin(
            stream_origins.StreamOrigin(service, versions[-1]),
            stream_origins.Source.ONLY,
        )

    _replace(entry_origins.StreamOrigins, "_only", only)


def _routes_kept() -> None:
    """An entry goes on with its table of routes after a change."""
    match = gateway.Gateway._match
    built: dict[Any, float] = {}

    def match_by_old_table(self: Any, call: Any) -> Any:
        now = self.timers.now()
        if now - built.get(self, 0.0) < _TABLE_SECONDS:
            self.table_manifest = self.configuration.manifest()
        else:
            built[self] = now
        return match(self, call)

    _replace(gateway.Gateway, "_match", match_by_old_table)


def _any_run_is_begun() -> None:
    """An entry that stops sends requests upstream until its end."""

    def allow(
        self: Any, now: float, arrived: float, latest: float, expected: float
    ) -> bool:
        return True

    _replace(stop_times.StopTimes, "allow", allow)


def _hand_over_again() -> None:
    """A moved run sends events again, and all of them are forwarded."""
    headers_of = upstreams._headers

    def headers_of_earlier(
        upstream: Any, call: Any, request: Any, left: Any
    ) -> list[tuple[str, str]]:
        if request.copy is not None and int(request.last_event or 0) > 1:
            last = str(int(request.last_event) - 1)
            request = request._replace(last_event=last)
        return headers_of(upstream, call, request, left)

    _replace(upstreams, "_headers", headers_of_earlier)
    _any_order()


def _stop_is_end() -> None:
    """A stream that its upstream closes as a move stops it counts as whole."""

    def confirm_end(self: Any, end: Any) -> Any:
        return end

    _replace(running_stream.RunningStream, "confirm_end", confirm_end)


def _copy_not_freed() -> None:
    """A copy that is not used is left to expire."""

    def free(self: Any) -> None:
        del self

    _replace(stream_move.StreamMove, "_free", free)


FAULTS = {
    "routes_kept": Reintroduced(
        _routes_kept, frozenset({"late", "regress", "in_force"})
    ),
    "lease_without_margin": Reintroduced(
        _lease_without_margin, frozenset({"stale_configuration"})
    ),
    "answer_before_commit": Reintroduced(
        _answer_before_commit,
        frozenset({"stale_configuration", "chain", "valid_key", "in_force"}),
    ),
    "identity_outlives_disk": Reintroduced(
        _identity_outlives_disk, frozenset({"stale_configuration", "chain"})
    ),
    "slot_not_released": Reintroduced(
        _slot_not_released, frozenset({"idle_capacity", "starved"})
    ),
    "refused_but_runs": Reintroduced(
        _refused_but_runs, frozenset({"truthful_refusal", "at_most_once"})
    ),
    "unbounded_buffer": Reintroduced(_unbounded_buffer, frozenset({"memory"})),
    "quiet_end_is_whole": Reintroduced(
        _quiet_end_is_whole, frozenset({"early_end"})
    ),
    "crash_is_whole": Reintroduced(_crash_is_whole, frozenset({"early_end"})),
    "any_gap": Reintroduced(_any_gap, frozenset({"events"})),
    "unasked_is_taken": Reintroduced(
        _unasked_is_taken,
        frozenset({"content", "events", "early_end", "reruns", "refused"}),
    ),
    "any_order": Reintroduced(_any_order, frozenset({"events"})),
    "own_directory": Reintroduced(_own_directory, frozenset({"versions"})),
    "any_version": Reintroduced(_any_version, frozenset({"versions"})),
    "any_run_is_begun": Reintroduced(
        _any_run_is_begun, frozenset({"planned_stop"})
    ),
    "quiet_end_for_callers": Reintroduced(
        _quiet_end_for_callers, frozenset({"early_end"})
    ),
    "hand_over_again": Reintroduced(_hand_over_again, frozenset({"events"})),
    "stop_is_end": Reintroduced(_stop_is_end, frozenset({"early_end"})),
    "copy_not_freed": Reintroduced(
        _copy_not_freed, frozenset({"expired_copy"})
    ),
}
