"""The entry role: validates calls against the manifest and runs them."""

from collections import OrderedDict
from collections.abc import Iterator
import re
from typing import Any
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar
import uuid

from loguru import logger

from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import manifest as manifest_module
from mintcleat.domain import program_messages
from mintcleat.domain import requests
from mintcleat.ports import calls as calls_port
from mintcleat.ports import control as control_port
from mintcleat.ports import directory as directory_port
from mintcleat.ports import events as events_port
from mintcleat.ports import metrics as metrics_port
from mintcleat.ports import streams as streams_port
from mintcleat.ports import timers as timers_port
from mintcleat.roles.entry import attempts as attempts_module
from mintcleat.roles.entry import authentication
from mintcleat.roles.entry import chat as chat_module
from mintcleat.roles.entry import chat_call
from mintcleat.roles.entry import customer_calls
from mintcleat.roles.entry import placement as placement_module
from mintcleat.roles.entry import rate_limiter
from mintcleat.roles.entry import service_calls as service_calls_module

_PROGRAM_ID = re.compile(r"[A-Za-z0-9_-]{1,64}(\.[A-Za-z0-9_-]{1,64}){0,8}")
# Programs in the view cache, which saves one read per turn. A view takes about
# 300 bytes; the bound keeps the memory of an entry small.
_MAX_VIEWS = 20_000
ANONYMOUS = "anonymous"
_Limit = TypeVar("_Limit", int, float)
_OUTCOME_TEXTS = {True: "ended", False: "failed or was abandoned"}


class Directory(
    directory_port.Directory,
    authentication.Configuration,
    rate_limiter.Configuration,
    Protocol,
):
    """The followed configuration, as the entry needs it."""


class Entry:
    """Serves callers' requests; keeps no state that must survive a restart.

    Attributes:
        views: Cached views of programs, least recently used first.
        leaving: Whether readiness is withdrawn ahead of a planned stop.
        draining: Whether new work is refused.
        running: Calls that have not ended yet.
    """

    def __init__(
        self,
        control: control_port.Control,
        directory: Directory,
        placement: placement_module.Placement,
        streams: streams_port.Streams,
        timers: timers_port.Timers,
        metrics: metrics_port.Metrics,
        events: events_port.EventReporter = events_port.NULL_EVENT_REPORTER,
    ) -> None:
        self.control = control
        self.directory = directory
        self.placement = placement
        self.timers = timers
        self.metrics = metrics
        self.views: OrderedDict[str, program_messages.ProgramView] = (
            OrderedDict()
        )
        self.authenticator = authentication.Authenticator(
            directory, timers, events
        )
        self.rate_limiter = rate_limiter.RateLimiter(
            control, timers, events, directory
        )
        self.leaving = False
        self.draining = False
        self.running = 0
        attempts = attempts_module.Attempts(control, streams, timers)
        self.chat_calls = chat_module.Chat(
            attempts, placement, streams, timers, metrics
        )
        self.service_calls = service_calls_module.ServiceCalls(
            attempts, placement, streams, timers, metrics
        )

    def ready(self) -> bool:
        """Returns whether the load balancer may send new work here."""
        return not self.leaving and self.directory.has_lease()

    def models(self) -> list[str]:
        """Returns the names of the model services."""
        services = self.directory.manifest().services
        return sorted(
            name
            for name, service in services.items()
            if service.kind == "model"
        )

    def create_program(
        self, new: requests.NewProgram
    ) -> program_messages.ProgramView:
        """Creates a program; a resend returns the existing one.

        Raises:
            errors.MintcleatError: The manifest doesn't have what the request
                names, or this entry takes no new work.
        """
        refusal = self._refusal(idempotent_service=False)
        if refusal is not None:
            raise refusal
        manifest = self.directory.manifest()
        agent = manifest.programs.get(new.agent)
        if new.agent and agent is None:
            raise errors.UnknownService(
                f"The manifest has no agent program {new.agent!r}."
            )
        agent = agent or manifest_module.Program(service="")
        create = program_messages.CreateProgram(
            program=self._program_id(new),
            customer=self._customer(new.customer),
            agent=new.agent,
            klass=new.klass or agent.klass,
            budget=self._budget(new.budget, agent),
            parent=new.parent,
            repeat_limit=agent.repeat_limit,
        )
        return self._cache_view(self._ask(create.program, create))

    def authenticate(self, key: str, request: str) -> calls_port.EntryApi:
        """Returns the API with the permissions of a key's customer.

        Args:
            key: Digest of the request's key; empty for none.
            request: Request id.

        Raises:
            errors.Unauthorized: No customer has the key.
            errors.MintcleatError: This entry can't decide whether a customer
                has the key.
        """
        arrived = self.timers.now()
        found = self.authenticator.caller(key)
        if found is None:
            self.authenticator.await_updates(request, key, arrived)
            found = self.authenticator.confirmed_caller(key)
        if not found.customer:
            return self
        return customer_calls.CustomerCalls(
            self, self.rate_limiter, found.customer
        )

    def view_program(self, program: str) -> program_messages.ProgramView:
        """Returns the program, possibly from the cache and out of date."""
        check_id(program)
        return self._view(program)

    def show_program(self, program: str) -> program_messages.ProgramView:
        """Returns the program by a linearizable read."""
        check_id(program)
        view = self._ask(program, program_messages.ShowProgram(program))
        return self._cache_view(view)

    def history(self, program: str) -> program_messages.History:
        """Returns the program's complete history."""
        check_id(program)
        return self._ask(program, program_messages.FetchHistory(program))

    def close_program(self, program: str) -> None:
        """Closes the program and its sub-agents."""
        check_id(program)
        self._ask(program, program_messages.CloseProgram(program))
        self.views.pop(program, None)

    def chat(
        self, call: requests.ChatCall
    ) -> Iterator[requests.AnswerText | requests.AnswerEnd]:
        """Yields the text of a chat answer in parts, then its end.

        Raises:
            errors.MintcleatError: The call was refused or failed.
        """
        refusal = self._refusal(idempotent_service=False)
        if refusal is not None and not (call.program or call.key):
            raise refusal
        view = self._call_view(call.program, call.key)
        customer = view.customer if view else self._customer(call.customer)
        key = call.key
        digest = attempts_module.digest(*call.messages, call.parameters)
        if view and not key:
            # Derived from the content: a resend without a key then finds the
            # attempt of the first send instead of a conflict over the turn.
            key = f"turn-{call.turn}-{digest.hex()}"
        context = chat_call.RequestContext(
            call=call,
            name=attempts_module.CallName(call.program, customer, key),
            service=self._model_service(call, view),
            agent=view.agent if view else "",
            klass=view.klass if view else "interactive",
            digest=digest,
            deadline_at=self._deadline_at(call.deadline),
            resident=self._resident(view),
            context_tokens=view.context if view else 0,
            tokens_left=tokens_left(view),
            refusal=refusal,
        )
        return self._run_chat(context)

    def service(self, call: requests.ServiceCall) -> requests.ServiceAnswer:
        """Returns the answer of a plain service.

        Raises:
            errors.MintcleatError: The call was refused or failed.
        """
        manifest = self.directory.manifest()
        service = manifest.services.get(call.service)
        if service is None or service.kind != "plain":
            raise errors.UnknownService(
                f"The manifest has no plain service {call.service!r}."
            )
        idempotent = manifest_module.is_idempotent(
            service, call.method, call.path
        )
        refusal = self._refusal(idempotent_service=idempotent)
        if refusal is not None and (idempotent or not call.key):
            raise refusal
        view = self._call_view(call.program, call.key)
        customer = view.customer if view else self._customer(call.customer)
        generated_key = not call.key
        key = call.key
        if generated_key and not idempotent:
            key = attempts_module.new_key()
        context = service_calls_module.ServiceContext(
            call=call,
            name=attempts_module.CallName(
                call.program, customer, key, generated_key
            ),
            klass=view.klass if view else "interactive",
            digest=attempts_module.digest(
                call.service, call.method, call.path, call.body
            ),
            deadline_at=self._deadline_at(call.deadline),
            idempotent=idempotent,
            is_recorded=not idempotent,
            refusal=refusal,
        )
        self.metrics.count("calls_total", kind="service")
        started = self.timers.now()
        self.running += 1
        try:
            return self.service_calls.run(context)
        finally:
            self.running -= 1
            elapsed = self.timers.now() - started
            self.metrics.observe("call_seconds", elapsed, kind="service")

    def _run_chat(
        self, context: chat_call.RequestContext
    ) -> Iterator[requests.AnswerText | requests.AnswerEnd]:
        """Runs a chat call; it counts as running until its last part."""
        self.metrics.count("calls_total", kind="chat")
        started = self.timers.now()
        self.running += 1
        first = True
        ended = False
        attempt = 0
        try:
            for event in self.chat_calls.run(context):
                if first:
                    first = False
                    waited = self.timers.now() - started
                    self.metrics.observe("first_token_seconds", waited)
                ended = isinstance(event, requests.AnswerEnd)
                if isinstance(event, requests.AnswerEnd):
                    attempt = event.attempt
                    self._update_view(context, event)
                yield event
        finally:
            self.running -= 1
            if not ended:
                self.views.pop(context.call.program, None)
            elapsed = self.timers.now() - started
            self.metrics.observe("call_seconds", elapsed, kind="chat")
            logger.bind(
                request=context.call.request,
                program=context.call.program,
                turn=context.call.turn,
                attempt=attempt,
            ).debug("Chat call {} in {:.4f} s", _OUTCOME_TEXTS[ended], elapsed)

    def _update_view(
        self, context: chat_call.RequestContext, end: requests.AnswerEnd
    ) -> None:
        """Updates the cached view with the residency after a turn.

        A stale view costs a prefill of the whole prompt but never a wrong
        answer: the program's group checks the order of turns and the budget.
        """
        view = self.views.get(context.call.program)
        if view is None:
            return
        if end.sidecar is None:
            self.views.pop(view.program)
            return
        tokens = end.usage.prompt_tokens + end.usage.completion_tokens
        self.views[view.program] = view._replace(
            resident=end.sidecar,
            used=view.used + max(0, tokens - view.context),
            context=tokens,
        )

    def _refusal(
        self, idempotent_service: bool
    ) -> errors.MintcleatError | None:
        """Returns the error for new work while draining or without a lease.

        Without a lease this entry may have missed a newer manifest and would
        apply an outdated one. The refusal sends callers to another entry.
        With `stale_lease: serve`, idempotent calls are still served.
        """
        if self.draining:
            return errors.Draining("This entry is stopping.")
        if self.directory.has_lease():
            return None
        policy = self.directory.manifest().policies.stale_lease
        if idempotent_service and policy == "serve":
            return None
        return errors.LeaseExpired(
            "This entry's configuration lease expired.", retry_after=1.0
        )

    def _customer(self, customer: str) -> str:
        policies = self.directory.manifest().policies
        customer = customer or policies.default_customer
        if not policies.customers:
            return customer or ANONYMOUS
        if customer not in policies.customers:
            raise errors.UnknownCustomer(
                f"The manifest has no customer {customer!r}."
            )
        return customer

    def _model_service(
        self, call: requests.ChatCall, view: program_messages.ProgramView | None
    ) -> str:
        manifest = self.directory.manifest()
        agent = manifest.programs.get(view.agent) if view else None
        name = call.model or (agent.service if agent else "")
        service = manifest.services.get(name)
        if service is None or service.kind != "model":
            raise errors.UnknownService(
                f"The manifest has no model service {name!r}."
            )
        return name

    def _budget(
        self, asked: identities.Budget, agent: manifest_module.Program
    ) -> identities.Budget:
        """Returns the lower of the caller's and the manifest's limits."""
        return identities.Budget(
            tokens=lower_limit(asked.tokens, agent.tokens),
            turns=lower_limit(asked.turns, agent.turns),
            seconds=lower_limit(asked.seconds, agent.seconds),
        )

    def _program_id(self, new: requests.NewProgram) -> str:
        name = new.program or uuid.uuid4().hex
        if new.parent and not name.startswith(f"{new.parent}."):
            name = f"{new.parent}.{name}"
        check_id(name)
        if "." in name and not new.parent:
            raise errors.BadRequest(
                "The id of a program without a parent can't contain a dot."
            )
        return name

    def _deadline_at(self, seconds: float) -> float:
        default = self.directory.manifest().policies.deadline
        return self.timers.now() + (seconds or default)

    def _call_view(
        self, program: str, key: str
    ) -> program_messages.ProgramView | None:
        """Returns the view of a call's program; None without a program.

        Raises:
            errors.MintcleatError: The view can't be read. The outcome is
                unknown where an earlier send of the call may have run.
        """
        if not program:
            return None
        try:
            return self._view(program)
        except errors.ControlUnavailable as error:
            name = attempts_module.CallName(program, "", key or "turn")
            raise attempts_module.with_unknown_outcome(name, error) from None

    def _view(self, program: str) -> program_messages.ProgramView:
        found = self.views.get(program)
        if found is not None:
            self.views.move_to_end(program)
            return found
        return self.show_program(program)

    def _cache_view(
        self, view: program_messages.ProgramView
    ) -> program_messages.ProgramView:
        self.views[view.program] = view
        self.views.move_to_end(view.program)
        if len(self.views) > _MAX_VIEWS:
            self.views.popitem(last=False)
        return view

    def _resident(
        self, view: program_messages.ProgramView | None
    ) -> identities.Incarnation | None:
        if view is None or not view.resident.epoch:
            return None
        return view.resident

    def _ask(self, scope: str, message: NamedTuple) -> Any:
        return self.control.ask(scope, message, attempts_module.CONTROL_SECONDS)


def check_id(program: str) -> None:
    """Checks the syntax of a program id.

    Raises:
        errors.BadRequest: It is not a valid program id.
    """
    if not _PROGRAM_ID.fullmatch(program):
        raise errors.BadRequest(
            f"{program[:80]!r} is not a valid program id: expected up to 9 "
            "parts separated by dots, each of 1 to 64 letters, digits, _ or -."
        )


def tokens_left(view: program_messages.ProgramView | None) -> int:
    """Returns the tokens left in a program's budget; -1 for no limit."""
    if view is None or not view.budget.tokens:
        return -1
    return max(0, view.budget.tokens - view.used - view.reserved)


def lower_limit(first: _Limit, second: _Limit) -> _Limit:
    """Returns the lower of two limits, where 0 means no limit."""
    if not first or not second:
        return first or second
    return min(first, second)
