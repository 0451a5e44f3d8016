"""Control takes configurations that are valid, and no others."""

import json
import pathlib
import random
import shutil
import subprocess
import sys
import tempfile
import time

from bench import hosted_processes
import eventlet
import testtools

import configurations
from fakes import platform_system
from mintcleat.domain import errors
from mintcleat.domain import manifest
from mintcleat.platform import translation

ROOT = pathlib.Path(__file__).parent.parent
SEEDS = 8
VALID_CASES = 40
STRANGE_CASES = 2000
START_SECONDS = 30.0
PUT = "/v1/Configuration.Put"


def invalid_cases(seed: int, version: int) -> list[configurations.Case]:
    """Returns cases of each reason and spelling.

    One is made from a configuration like those in use, so that nothing else in
    it can be the cause of a refusal, and one from a random configuration.
    """
    generator = random.Random(seed)
    found = []
    for reason, spelling in configurations.SPELLINGS:
        found.append(
            configurations.invalid_case(
                generator,
                platform_system.configuration(version),
                reason,
                spelling,
                configurations.plain,
            )
        )
        fields = configurations.valid(generator, version)
        found.append(
            configurations.invalid_case(generator, fields, reason, spelling)
        )
    return found


def valid_cases(seed: int, version: int) -> list[configurations.Case]:
    """Returns cases whose versions increase."""
    generator = random.Random(seed)
    return [
        configurations.valid_case(generator, version + number)
        for number in range(VALID_CASES)
    ]


def description(case: configurations.Case) -> str:
    return f"{case.reason}, {case.spelling}: {case.body[:1000]!r}"


def is_taken(body: bytes) -> bool:
    """Returns whether a body becomes a manifest that is valid itself."""
    try:
        parsed = platform_system.valid_configuration(body)
    except errors.InvalidManifest:
        return False
    manifest.parse(translation.to_manifest(parsed, {}))
    return True


class OracleTest(testtools.TestCase):
    def test_oracle_and_generator_agree(self) -> None:
        for seed in range(SEEDS):
            for case in invalid_cases(seed, 1) + valid_cases(seed, 1):
                self.assertEqual(
                    not case.reason,
                    configurations.is_valid(case.body),
                    description(case),
                )


class TranslationTest(testtools.TestCase):
    def test_invalid_configurations_become_no_manifest(self) -> None:
        for seed in range(SEEDS):
            for case in invalid_cases(seed, 1):
                self.assertFalse(is_taken(case.body), description(case))

    def test_valid_configurations_become_manifests(self) -> None:
        for seed in range(SEEDS):
            for case in valid_cases(seed, 1):
                self.assertTrue(is_taken(case.body), description(case))

    def test_values_of_any_kind_are_decided_as_the_oracle_does(self) -> None:
        for seed in range(STRANGE_CASES):
            case = configurations.strange_case(random.Random(seed), seed + 1)
            valid = configurations.is_valid(case.body)
            self.assertEqual(valid, is_taken(case.body), description(case))


class ControlTest(platform_system.HostedTest):
    def get(self) -> platform_system.Answer:
        return self.system.ask_control("GET", "/v1/Configuration.Get")

    def test_invalid_configurations_are_refused_and_not_read_back(self) -> None:
        held = json.dumps(platform_system.configuration(4)).encode()
        self.system.put(held)
        for case in invalid_cases(1, 10):
            answer = self.system.put(case.body)
            refused = range(400, 500)
            self.assertIn(answer.status, refused, description(case))
            self.assertEqual(held, self.get().body, description(case))

    def test_valid_configurations_are_read_back_as_sent(self) -> None:
        for case in valid_cases(1, 10):
            answer = self.system.put(case.body)
            self.assertEqual(200, answer.status, description(case))
            self.assertEqual(case.body, self.get().body)


class ProcessesTest(testtools.TestCase):
    """Three control instances, each a process of its own."""

    def setUp(self) -> None:
        super().setUp()
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        network = f"127.{random.randint(20, 120)}.{random.randint(1, 250)}"
        self.ips = [f"{network}.{number}" for number in (1, 2, 3)]
        for number, ip in enumerate(self.ips, start=1):
            self.start(f"control-{number}", ip)

    def start(self, name: str, ip: str) -> None:
        path = self.folder / f"{name}.toml"
        fields = hosted_processes.settings(
            "control", name, ip, self.ips, self.folder
        )
        path.write_text(hosted_processes.toml(fields))
        with (self.folder / f"{name}.log").open("w") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "mintcleat.main.hosted", "control"],
                stdout=log,
                stderr=log,
                env=hosted_processes.environment(ROOT, path),
            )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)

    def ask(
        self, ip: str, method: str, path: str, body: bytes = b""
    ) -> platform_system.Answer:
        address = f"{ip}:{hosted_processes.CONTROL_PORT}"
        return platform_system.exchange(address, method, path, {}, body)

    def await_leader(self) -> None:
        until = time.monotonic() + START_SECONDS
        body = json.dumps(platform_system.configuration(1)).encode()
        while True:
            try:
                if self.ask(self.ips[0], "POST", PUT, body).status == 200:
                    return
            except OSError:
                pass
            self.assertLess(time.monotonic(), until, "no instance answered")
            eventlet.sleep(0.1)

    def test_no_instance_acknowledges_an_invalid_configuration(self) -> None:
        self.await_leader()
        for number, case in enumerate(invalid_cases(2, 10)):
            ip = self.ips[number % len(self.ips)]
            status = self.ask(ip, "POST", PUT, case.body).status
            self.assertIn(status, range(400, 500), description(case))

    def test_every_instance_takes_valid_ones_and_reads_them_back(self) -> None:
        self.await_leader()
        for number, case in enumerate(valid_cases(3, 10)):
            ip = self.ips[number % len(self.ips)]
            other = self.ips[(number + 1) % len(self.ips)]
            status = self.ask(ip, "POST", PUT, case.body).status
            self.assertEqual(200, status, description(case))
            answer = self.ask(other, "GET", "/v1/Configuration.Get")
            self.assertEqual(case.body, answer.body)
