"""Placement input, token limits and outcomes of a chat call."""

from typing import Any
from unittest import mock

import testtools
from testtools import matchers

from mintcleat.domain import errors
from mintcleat.domain import requests
from mintcleat.roles.entry import attempts
from mintcleat.roles.entry import chat
from mintcleat.roles.entry import chat_call


def context(**changes: object) -> chat_call.RequestContext:
    call = requests.ChatCall(
        request="r",
        program="p",
        customer="",
        model="m",
        turn=2,
        key="",
        messages=['{"content": "x", "role": "user"}'],
        parameters="{}",
        deadline=0.0,
        max_tokens=0,
        streamed=False,
    )
    base = chat_call.RequestContext(
        call=call,
        name=attempts.CallName("p", "a", "k"),
        service="m",
        agent="",
        klass="interactive",
        digest=b"",
        deadline_at=9.0,
        resident=None,
        context_tokens=500,
    )
    return base._replace(**changes)


class CallTest(testtools.TestCase):
    def test_later_turn_is_not_placed_as_a_first_call(self) -> None:
        """Guards against placing later turns by the queueing time of new calls.

        Only the first call of a program waits for memory at its upstream. If
        later turns are placed by that wait too, running programs move away
        from upstreams that would serve them at once.
        """
        self.assertThat(
            chat_call.place_call(context(), 1).attained,
            matchers.GreaterThan(0),
        )
        first = chat_call.place_call(context(context_tokens=0), 1)
        self.assertEqual(0, first.attained)

    def test_completion_limit_defaults_to_the_rest_of_the_budget(self) -> None:
        bound = chat_call.prompt_bound(context().call)
        limit = chat_call.completion_limit(context(tokens_left=bound + 7))
        self.assertEqual(7, limit)
        plenty = chat_call.completion_limit(context(tokens_left=10**6))
        self.assertEqual(chat_call.DEFAULT_COMPLETION_TOKENS, plenty)

    def test_prompt_bound_is_at_least_its_size_in_bytes(self) -> None:
        call = context().call._replace(messages=["ä" * 50])
        self.assertThat(chat_call.prompt_bound(call), matchers.GreaterThan(99))


class LostAttempt(chat.Chat):
    """Its first attempt may have run, and the next one isn't granted."""

    def _attempt(
        self, context: chat_call.RequestContext, progress: chat.Progress
    ) -> Any:
        progress.attempts += 1
        yield from ()
        if progress.attempts == 1:
            return attempts.Retry(1, errors.OutcomeUnknown("lost"))
        raise errors.ControlUnavailable("no quorum")


class OutcomeTest(testtools.TestCase):
    def test_attempt_that_is_not_granted_does_not_hide_one_that_may_have_run(
        self,
    ) -> None:
        # Guards against callers that repeat what has run as "not run".
        for name in (
            attempts.CallName("p", "a", "k"),
            attempts.CallName("p", "a", "auto-1", generated_key=True),
            attempts.CallName("", "a", ""),
        ):
            calls = LostAttempt(*(mock.Mock() for _ in range(5)))
            calls.timers.now.return_value = 1.0
            found = self.assertRaises(
                errors.OutcomeUnknown, list, calls.run(context(name=name))
            )
            self.assertEqual(
                (504, errors.UNKNOWN), (found.status, found.outcome)
            )
