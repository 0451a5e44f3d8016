"""Sends the crashes that an entry saw to control, until they are accepted."""

from typing import Any
from typing import Protocol

from loguru import logger

from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import member_messages
from mintcleat.ports import timers as timer_ports

# Requests that are lost in one crash fail within a few milliseconds and share a
# report.
_GATHER_SECONDS = 0.005
_ASK_SECONDS = 0.5
_RETRY_SECONDS = 0.1
# Bounds of what waits while control can't be reached. The oldest is dropped.
_MAX_CRASHES = 256
_MAX_ENDED_WELL = 1_024


class Control(Protocol):
    """Sends requests to the config leader.

    Attributes:
        node: Incarnation of this process.
    """

    node: identities.Incarnation

    def ask(self, message: Any, timeout: float) -> Any:
        """Sends a request to the config leader and returns its reply."""


class _Crash:
    """A crash that has not been reported completely.

    Attributes:
        lost_at: Monotonic time at which its connections were lost.
        objects: The object of each lost request that has one, by digest.
        replaced_at: Monotonic time at which the upstream was found replaced; 0
            if the loss shows the crash.
    """

    def __init__(self, service: str, lost_at: float) -> None:
        self.service = service
        self.lost_at = lost_at
        self.losses: list[member_messages.LostRequest] = []
        self.objects: dict[bytes, bytes] = {}
        self.replaced_at = 0.0


class CrashReporter:
    """Reports crashes, and suspects that ended well.

    Attributes:
        crashes: What waits to be sent, by incarnation of the upstream.
        ended_well: Digests that wait to be sent.
        ended_objects: Likewise, of objects.
        is_sending: Whether a green thread is sending.
        is_stopped: Whether the entry ends, so that nothing is sent again.
    """

    def __init__(self, control: Control, timers: timer_ports.Timers) -> None:
        self.control = control
        self.timers = timers
        self.crashes: dict[str, _Crash] = {}
        self.ended_well: dict[bytes, None] = {}
        self.ended_objects: dict[bytes, None] = {}
        self.is_sending = False
        self.is_stopped = False

    def stop(self) -> None:
        """Gives up what has not been accepted."""
        self.is_stopped = True

    def add_loss(
        self,
        incarnation: str,
        service: str,
        lost_at: float,
        loss: member_messages.LostRequest,
        object_digest: bytes = b"",
        replaced_at: float = 0.0,
    ) -> None:
        """Reports a request that was lost in a crash; does not wait.

        Args:
            incarnation: Incarnation of the upstream.
            service: Its service.
            lost_at: Monotonic time of the loss.
            loss: The request.
            object_digest: Digest of its object; empty if the crash doesn't
                speak against that.
            replaced_at: Monotonic time at which the upstream was found
                replaced, if only that shows the crash.
        """
        crash = self.crashes.get(incarnation)
        if crash is None:
            crash = self.crashes[incarnation] = _Crash(service, lost_at)
            while len(self.crashes) > _MAX_CRASHES:
                del self.crashes[next(iter(self.crashes))]
        if not (crash.losses and replaced_at):
            crash.replaced_at = replaced_at
        crash.losses.append(loss)
        if object_digest:
            crash.objects[loss.digest] = object_digest
        self._start()

    def add_ended_well(self, digest: bytes) -> None:
        """Reports that a suspect ended well; does not wait."""
        self.ended_well[digest] = None
        while len(self.ended_well) > _MAX_ENDED_WELL:
            del self.ended_well[next(iter(self.ended_well))]
        self._start()

    def add_ended_object(self, digest: bytes) -> None:
        """Reports that a request for an object ended well; does not wait."""
        self.ended_objects[digest] = None
        while len(self.ended_objects) > _MAX_ENDED_WELL:
            del self.ended_objects[next(iter(self.ended_objects))]
        self._start()

    def _start(self) -> None:
        if not self.is_sending:
            self.is_sending = True
            self.timers.spawn(self._send)

    def _send(self) -> None:
        self.timers.sleep(_GATHER_SECONDS)
        try:
            while not self.is_stopped and (
                self.crashes or self.ended_well or self.ended_objects
            ):
                crashes, self.crashes = self.crashes, {}
                ended_well, self.ended_well = self.ended_well, {}
                ended_objects, self.ended_objects = self.ended_objects, {}
                try:
                    self.control.ask(
                        self._report(crashes, ended_well, ended_objects),
                        _ASK_SECONDS,
                    )
                except errors.MintcleatError as error:
                    logger.warning(
                        "Crashes could not be reported yet: {}", error.detail
                    )
                    self._put_back(crashes, ended_well, ended_objects)
                    self.timers.sleep(_RETRY_SECONDS)
        finally:
            self.is_sending = False

    def _report(
        self,
        crashes: dict[str, _Crash],
        ended_well: dict[bytes, None],
        ended_objects: dict[bytes, None],
    ) -> member_messages.ReportCrashes:
        now = self.timers.now()
        return member_messages.ReportCrashes(
            self.control.node,
            [
                member_messages.CrashedUpstream(
                    incarnation,
                    crash.service,
                    now - crash.lost_at,
                    crash.losses,
                )
                for incarnation, crash in crashes.items()
            ],
            list(ended_well),
            [
                pair
                for crash in crashes.values()
                for pair in crash.objects.items()
            ],
            list(ended_objects),
            [
                (incarnation, crash.replaced_at - crash.lost_at)
                for incarnation, crash in crashes.items()
                if crash.replaced_at
            ],
        )

    def _put_back(
        self,
        crashes: dict[str, _Crash],
        ended_well: dict[bytes, None],
        ended_objects: dict[bytes, None],
    ) -> None:
        """Keeps what was not accepted, before what came meanwhile."""
        for incarnation, later in self.crashes.items():
            crash = crashes.setdefault(
                incarnation, _Crash(later.service, later.lost_at)
            )
            # A loss shows a crash better than a replacement.
            if not (crash.losses and later.replaced_at):
                crash.replaced_at = later.replaced_at
            crash.losses.extend(later.losses)
            crash.objects.update(later.objects)
        self.crashes = crashes
        while len(self.crashes) > _MAX_CRASHES:
            del self.crashes[next(iter(self.crashes))]
        self.ended_well = {**ended_well, **self.ended_well}
        self.ended_objects = {**ended_objects, **self.ended_objects}
