"""The control role: the replicated logs and the services that use them."""

import pathlib

from mintcleat.adapters import admin_http
from mintcleat.adapters import admin_token
from mintcleat.adapters import disk_thread
from mintcleat.adapters import histories
from mintcleat.adapters import wal
from mintcleat.adapters import wal_disk
from mintcleat.adapters import wsgi
from mintcleat.configuration import machine
from mintcleat.consensus import types
from mintcleat.decisions import memory_account
from mintcleat.decisions import turn_decisions
from mintcleat.domain import errors
from mintcleat.main import common as common_module
from mintcleat.ports import events as event_ports
from mintcleat.programs import placement
from mintcleat.roles import control_client
from mintcleat.roles.control import actions as control_actions
from mintcleat.roles.control.configuration import current
from mintcleat.roles.control.configuration import rollout
from mintcleat.roles.control.configuration import service as config_service
from mintcleat.roles.control.programs import contents
from mintcleat.roles.control.programs import service as program_service
from mintcleat.roles.control.replication import replication
from mintcleat.roles.control.replication import snapshots

_LEADERSHIP_TRANSFER_SECONDS = 2.0
# Share of the process's memory for the inputs and outputs of kept turns. Beside
# the process itself, a replica takes up to 2.5 times these bytes: records, the
# log's entries and what the heap can't reuse. A state that is sent is in memory
# once more, one that is received twice.
_KEPT_TURNS_FRACTION = 0.16
# Share of the process's memory for the accounts of programs, and for their kept
# turns beside the content.
_RECORDS_FRACTION = 0.1
# The same for the records of streams that callers may take up.
_STREAMS_FRACTION = 0.05
# The same for contents of turns on their way from and to entries.
_TRANSFERS_FRACTION = 0.06
# Least room for them: two at a time.
_MIN_TRANSFERS_BYTES = 2 * contents.TAKE_BYTES


class ControlRole:
    """The control role of one process."""

    def __init__(
        self,
        common: common_module.SharedComponents,
        events: event_ports.EventReporter = event_ports.NULL_EVENT_REPORTER,
        memory_bytes: int = 0,
    ) -> None:
        """Creates the services.

        Args:
            common: Components that all roles share.
            events: Receives the events.
            memory_bytes: Memory that the process may use; 0 if unknown.
        """
        self.common = common
        self.memory_bytes = memory_bytes
        settings = common.settings
        self.folder = pathlib.Path(settings.control_role.data)
        wal_disk.make_folder(wal_disk.SystemDisk(), self.folder)
        self.token = admin_token.load(
            settings.control_role.token_file, self.folder
        )
        groups = placement.group_names(settings.program_groups)
        self.log = replication.GroupLog(
            common.node,
            common.streams.address,
            self._members(),
            wal.FileWal(
                self.folder / "log",
                detect_copies=settings.control_role.keeps_inodes,
            ),
            [machine.GROUP, *groups],
            streams=common.streams,
            timers=common.timers,
            options=self._options(),
            worker=disk_thread.DiskThread(
                lambda seconds: common.metrics.observe(
                    "disk_call_seconds", seconds
                )
            ),
            own=replication.Member(
                settings.instance,
                common.streams.address,
                settings.failure_domain,
                settings.region,
                settings.control_role.label,
            ),
            events=events,
        )
        self.config = config_service.ConfigService(
            common.node,
            settings.failure_domain,
            common.streams.address,
            log=self.log,
            streams=common.streams,
            timers=common.timers,
            times=common.lease_times(),
            events=events,
        )
        self.configuration = current.CurrentConfiguration(self.config)
        self.programs = program_service.ProgramService(
            self.log,
            common.streams,
            common.timers,
            groups,
            self.configuration.policies,
            is_current=self.configuration.is_current,
            kept_limit=int(memory_bytes * _KEPT_TURNS_FRACTION / len(groups)),
            record_limit=int(memory_bytes * _RECORDS_FRACTION / len(groups)),
            stream_limit=int(memory_bytes * _STREAMS_FRACTION / len(groups)),
            histories=self._histories,
            memory_tokens=self.configuration.memory_tokens,
            registered=self.configuration.registered,
            events=events,
            account=memory_account.MemoryAccount(transfer_bytes(memory_bytes)),
        )
        self.planner = rollout.Planner(self.config)
        self.client = control_client.ControlClient(
            common.streams,
            common.timers,
            self._control_addresses(),
            settings.program_groups,
            settings.times.control_try,
        )
        self.actions = control_actions.ControlActions(
            settings.instance,
            self.log,
            common.streams,
            self._control_addresses(),
        )
        app = admin_http.AdminApp(
            self.token,
            ask=self.config.ask,
            programs=self.client,
            groups=lambda: groups,
            control=self.actions,
        )
        self.admin = wsgi.HttpServer(settings.control_role.admin, app)

    def start(self) -> None:
        """Recovers from disk and joins the groups."""
        self.log.start()
        self.config.start()
        self.planner.start()

    def failure(self) -> errors.MintcleatError | None:
        """Returns the error that stopped the replica, if any."""
        return self.log.failure()

    def drain(self) -> None:
        """Transfers every leadership, so that callers wait for no election."""
        self.log.transfer_leadership(_LEADERSHIP_TRANSFER_SECONDS)

    def in_flight(self) -> int:
        """Returns 0: other roles retry their requests at another instance."""
        return 0

    def stop(self) -> None:
        """Stops the listener and the services; syncs and closes the logs."""
        self.admin.stop()
        self.config.stop()
        self.log.stop()

    def addresses(self) -> dict[str, str]:
        """Returns the address of the admin listener."""
        return {"admin": self.admin.address}

    def update_gauges(self) -> None:
        """Sets the control role's gauges."""
        led_groups = sum(self.log.leads(group) for group in self.log.groups())
        self.common.metrics.gauge("led_groups", led_groups)
        revision = self.configuration.document().revision
        self.common.metrics.gauge("config_revision", revision)
        self.common.metrics.gauge(
            "config_current", int(self.configuration.is_current())
        )
        kept_bytes = self.programs.kept_bytes()
        self.common.metrics.gauge("kept_turn_bytes", kept_bytes)
        self.common.metrics.gauge(
            "content_bytes", self.programs.account.total()
        )
        for service, view in self.programs.contention.views().items():
            self._set_turn_gauges(service, view)

    def _set_turn_gauges(
        self, service: str, view: turn_decisions.ScheduleView
    ) -> None:
        metrics = self.common.metrics
        metrics.gauge("turns_running", view.running, service=service)
        metrics.gauge("turns_waiting", view.waiting, service=service)
        metrics.gauge("turns_bound", view.bound, service=service)

    def _histories(self, group: str) -> histories.FileHistoryStore:
        return histories.FileHistoryStore(self.folder / "histories" / group)

    def _control_addresses(self) -> list[str]:
        """Returns the addresses of all control instances, this one included.

        A single instance may listen on any free port, in which case its
        settings can't have its address.
        """
        own = self.common.streams.address
        if len(self.common.settings.control) == 1:
            return [own]
        return self.common.settings.control

    def _options(self) -> replication.Options:
        times = self.common.settings.times
        role = self.common.settings.control_role
        return replication.Options(
            core=types.Settings(
                heartbeat=times.heartbeat,
                election=times.election,
                group_size=role.group_size,
                replace_after=times.replace_after,
                balance_after=times.balance_after,
                founder=role.founder,
            ),
            snapshots=snapshots.limits_for(
                self.memory_bytes, self.common.settings.program_groups
            ),
        )

    def _members(self) -> list[replication.Member]:
        settings = self.common.settings
        listed = [
            replication.Member(
                member.instance,
                member.address,
                member.failure_domain,
                member.region,
            )
            for member in settings.control_role.members
        ]
        own = replication.Member(
            settings.instance,
            self.common.streams.address,
            settings.failure_domain,
            settings.region,
        )
        return listed or [own]


def transfer_bytes(memory_bytes: int) -> int:
    """Returns the room for transfers; 0 if the memory is unknown."""
    if not memory_bytes:
        return 0
    share = int(memory_bytes * _TRANSFERS_FRACTION)
    return max(share, _MIN_TRANSFERS_BYTES)
