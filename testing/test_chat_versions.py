"""A streamed chat answer is made by one version of the engines' software."""

from typing import Any

import eventlet
import testtools

from fakes import path_rig
from mintcleat.domain import errors
from mintcleat.domain import requests
from mintcleat.standins import batch

TOKENS = 12
MESSAGE = '{"role":"user","content":"x"}'
# Time until each entry has had a load report of each engine.
REPORT_SECONDS = 0.8


class Case(testtools.TestCase):
    """Engines of several versions behind sidecars; one is lost midway."""

    versions: tuple[str, ...] = ()

    def setUp(self) -> None:
        super().setUp()
        self.rig = path_rig.Rig(1)
        self.addCleanup(self.rig.stop)
        self.rig.faults.active = False
        sides = self.rig.directory.sidecars
        while len(sides) < len(self.versions) + 2:
            name = f"e{len(sides)}"
            sides.append(path_rig.RestartableSidecar(self.rig, name, "chat"))
        self.engines = [
            side.upstream for side in sides if side.service == "chat"
        ]
        for engine, version in zip(self.engines, self.versions, strict=True):
            engine.options = engine.options._replace(
                software=version, speed=batch.Speed(token_time=0.02)
            )
            engine.batch.speed = engine.options.speed
        self.rig.directory.notify()
        eventlet.sleep(REPORT_SECONDS)

    def stream(self, key: str) -> tuple[list[str], Any]:
        """Streams an answer whose first engine is lost after its first text.

        Returns:
            The versions of the engines that got the call, in order, and its
            end, or its error.
        """
        call = requests.ChatCall(
            request="",
            program="",
            customer="",
            model="chat",
            turn=0,
            key=key,
            messages=[MESSAGE],
            parameters=f'{{"max_tokens":{TOKENS}}}',
            deadline=10.0,
            max_tokens=TOKENS,
            streamed=True,
        )
        self.rig.sent[MESSAGE] = ("", key, 0)
        versions: list[str] = []
        first: Any = None
        last: Any = None
        try:
            for event in self.rig.entries[0].chat(call):
                if not versions:
                    (first,) = [item for item in self.engines if item.runs]
                    versions.append(first.options.software)
                    first.stop()
                last = event
        except errors.MintcleatError as error:
            last = error
        versions += [
            item.options.software
            for item in self.engines
            if item.runs and item is not first
        ]
        return versions, last


class OtherVersionTest(Case):
    versions = ("v1", "v2")

    def test_answer_is_not_continued_at_another_version(self) -> None:
        versions, last = self.stream("k")
        self.assertIsInstance(last, errors.MintcleatError)
        self.assertEqual(1, len(versions))


class SameVersionTest(Case):
    versions = ("v1", "v1", "v2", "v2")

    def test_answer_goes_on_at_its_version(self) -> None:
        versions, last = self.stream("k")
        self.assertEqual(2, len(versions))
        self.assertEqual(1, len(set(versions)))
        self.assertIsInstance(last, requests.AnswerEnd)


class UnknownVersionTest(Case):
    versions = ("", "")

    def test_answer_of_engines_that_state_none_goes_on(self) -> None:
        _, last = self.stream("k")
        self.assertIsInstance(last, requests.AnswerEnd)
