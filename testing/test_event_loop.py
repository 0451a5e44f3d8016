"""The hub of the hosted processes, over real sockets."""

from collections.abc import Callable
import functools
import os
import signal
import socket
import subprocess
import sys
from typing import Any
from unittest import mock

import eventlet
from eventlet import hubs
from eventlet import patcher
from eventlet import queue
import pytest
from testing.fakes import virtual_time
import testtools

from mintcleat.adapters import event_loop
from mintcleat.adapters import http1_client
from mintcleat.adapters import http1_server
from mintcleat.adapters import received_bytes
from mintcleat.adapters import socket_reader
from mintcleat.adapters import timers
from mintcleat.domain import manifest

stall = patcher.original("time").sleep
_WAIT_SECONDS = 5.0
# Prints what it reads within 2 s from a socket that it inherited.
SUSPENDED = """
import sys
from mintcleat.adapters import event_loop
import eventlet
from eventlet import hubs
hubs.use_hub(event_loop.Hub)
from eventlet.green import socket
sock = socket.socket(fileno=int(sys.argv[1]))
print("ready", flush=True)
try:
    with eventlet.Timeout(2.0):
        print(sock.recv(10).decode(), flush=True)
except eventlet.Timeout:
    print("timeout", flush=True)
"""


def run(function: Callable[[], Any]) -> Any:
    """Runs a function on a thread with the hub and returns its result."""
    return virtual_time.run(function, event_loop.Hub)


def connected_pair() -> tuple[Any, Any]:
    listener = eventlet.listen(("127.0.0.1", 0))
    client = eventlet.connect(listener.getsockname())
    server, _ = listener.accept()
    listener.close()
    return client, server


def count_polls() -> list[float | None]:
    """Returns a list that gets the timeout of each further poll."""
    hub = hubs.get_hub()
    polls: list[float | None] = []
    original = hub.wait

    def wait(seconds: float | None = None) -> None:
        polls.append(seconds)
        original(seconds)

    hub.wait = wait
    return polls


class TimerTest(testtools.TestCase):
    def test_green_threads_run_in_the_order_of_their_spawning(self) -> None:
        def body() -> list[int]:
            found: list[int] = []
            threads = [eventlet.spawn(found.append, n) for n in range(5)]
            for thread in threads:
                thread.wait()
            return found

        self.assertEqual([0, 1, 2, 3, 4], run(body))

    def test_cancelled_green_thread_does_not_run(self) -> None:
        def body() -> list[int]:
            found: list[int] = []
            eventlet.spawn_after(0, found.append, 1).cancel()
            eventlet.spawn_after(0.01, found.append, 2).cancel()
            eventlet.sleep(0.03)
            return found

        self.assertEqual([], run(body))

    def test_delayed_timers_fire_in_order_and_not_early(self) -> None:
        def body() -> tuple[list[int], float]:
            found: list[int] = []
            clock = hubs.get_hub().clock
            start = clock()
            eventlet.spawn_after(0.02, found.append, 2)
            eventlet.spawn_after(0.01, found.append, 1)
            eventlet.sleep(0.03)
            return found, clock() - start

        found, took = run(body)
        self.assertEqual([1, 2], found)
        self.assertTrue(took >= 0.03, took)

    def test_failed_green_thread_does_not_stop_the_others(self) -> None:
        def body() -> str:
            hubs.get_hub().set_timer_exceptions(False)
            eventlet.spawn(lambda: 1 / 0)
            return eventlet.spawn(lambda: "ran").wait()

        self.assertEqual("ran", run(body))

    def test_rounds_of_green_threads_share_one_poll(self) -> None:
        def body() -> int:
            polls = count_polls()
            for _ in range(10):
                eventlet.sleep(0)
            return len(polls)

        self.assertTrue(run(body) <= 1)

    def test_yielding_green_thread_does_not_starve_sockets(self) -> None:
        def body() -> bytes:
            client, server = connected_pair()
            running = [True]

            def spin() -> None:
                while running:
                    eventlet.sleep(0)

            eventlet.spawn(spin)
            eventlet.spawn(client.sendall, b"data")
            with eventlet.Timeout(_WAIT_SECONDS):
                data = server.recv(10)
            running.clear()
            return data

        self.assertEqual(b"data", run(body))


class DescriptorTest(testtools.TestCase):
    def test_data_that_nobody_waits_for_is_reported_once(self) -> None:
        # A registration that outlives its reader would make every poll return
        # at once.
        def body() -> tuple[int, bytes]:
            client, server = connected_pair()
            client.sendall(b"1")
            server.recv(10)
            polls = count_polls()
            client.sendall(b"2")
            eventlet.sleep(0.05)
            return len(polls), server.recv(10)

        polls, data = run(body)
        self.assertTrue(polls <= 4, polls)
        self.assertEqual(b"2", data)

    def test_reader_is_woken_again_after_unawaited_data(self) -> None:
        def body() -> list[bytes]:
            client, server = connected_pair()
            found = []
            for data in (b"1", b"2", b"3"):
                eventlet.spawn_after(0.01, client.sendall, data)
                with eventlet.Timeout(_WAIT_SECONDS):
                    found.append(server.recv(10))
                client.sendall(b"x")
                eventlet.sleep(0.01)
                found.append(server.recv(10))
            return found

        self.assertEqual([b"1", b"x", b"2", b"x", b"3", b"x"], run(body))

    def test_closed_idle_connection_does_not_spin(self) -> None:
        def body() -> tuple[int, bytes]:
            client, server = connected_pair()
            eventlet.spawn(client.sendall, b"1")
            server.recv(10)
            client.close()
            polls = count_polls()
            eventlet.sleep(0.05)
            return len(polls), server.recv(10)

        polls, data = run(body)
        self.assertTrue(polls <= 4, polls)
        self.assertEqual(b"", data)

    def test_reused_descriptor_number_is_registered_again(self) -> None:
        # If the hub took the registration of the closed socket for that of
        # the new one, the new one would never be reported.
        def body() -> list[bytes]:
            found = []
            for data in (b"1", b"2", b"3"):
                client, server = connected_pair()
                eventlet.spawn_after(0.01, client.sendall, data)
                with eventlet.Timeout(_WAIT_SECONDS):
                    found.append(server.recv(10))
                client.close()
                server.close()
            return found

        self.assertEqual([b"1", b"2", b"3"], run(body))

    def test_announced_pipe_with_a_reused_number_is_registered(self) -> None:
        def body() -> bytes:
            client, server = connected_pair()
            eventlet.spawn_after(0.01, client.sendall, b"1")
            server.recv(10)
            client.close()
            server.close()
            reader, writer = os.pipe()
            os.set_blocking(reader, False)
            hubs.notify_opened(reader)
            eventlet.spawn_after(0.01, os.write, writer, b"2")
            with eventlet.Timeout(_WAIT_SECONDS):
                hubs.trampoline(reader, read=True)
            data = os.read(reader, 10)
            os.close(reader)
            os.close(writer)
            return data

        self.assertEqual(b"2", run(body))

    def test_blocked_writer_continues_and_its_socket_stays_readable(
        self,
    ) -> None:
        def body() -> tuple[int, bytes]:
            client, server = connected_pair()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
            size = 4 * 1024 * 1024
            writer = eventlet.spawn(client.sendall, b"x" * size)
            answers = eventlet.spawn(client.recv, 10)
            received = 0
            with eventlet.Timeout(_WAIT_SECONDS):
                while received < size:
                    received += len(server.recv(65536))
                writer.wait()
                server.sendall(b"done")
                return received, answers.wait()

        self.assertEqual((4 * 1024 * 1024, b"done"), run(body))

    @pytest.mark.known_red
    def test_connection_made_within_a_stall_is_no_timeout(self) -> None:
        # Guards against late upstreams that were in time: the process stalled.
        def body() -> bool:
            listener = eventlet.listen(("127.0.0.1", 0))
            address = "{}:{}".format(*listener.getsockname())
            (first, wakes_first), (second, wakes_second) = (
                connected_pair(),
                connected_pair(),
            )

            def connect_when_woken() -> None:
                first.recv(1)
                http1_client.connect(address, 0.3).close()

            def stall_when_woken() -> None:
                second.recv(1)
                stall(0.4)

            connecting = eventlet.spawn(connect_when_woken)
            eventlet.spawn(stall_when_woken)
            eventlet.sleep(0)
            # One poll reports both; the stall follows the call of connect.
            wakes_first.send(b"x")
            wakes_second.send(b"x")
            connecting.wait()
            return True

        self.assertTrue(run(body))

    @pytest.mark.known_red
    def test_answer_that_came_within_a_stall_is_no_timeout(self) -> None:
        # Guards against answers that were in time and count as missing.
        def body() -> bytes:
            client, server = connected_pair()
            reader = socket_reader.SocketReader(client)

            def answer_and_stall() -> None:
                server.recv(1)
                server.send(b"answer")
                stall(0.4)

            eventlet.spawn(answer_and_stall)
            eventlet.sleep(0)
            client.send(b"x")
            with eventlet.Timeout(0.3):
                return reader.read()

        self.assertEqual(b"answer", run(body))

    @pytest.mark.known_red
    def test_answer_that_passes_green_threads_after_a_stall_is_no_timeout(
        self,
    ) -> None:
        def body(hops: int, in_timer: bool) -> bytes:
            reader, writer = connected_pair()
            woken, wakes = connected_pair()
            queues = [queue.LightQueue() for _ in range(hops)]

            def read() -> None:
                queues[0].put(reader.recv(10))

            def relay(number: int) -> None:
                queues[number + 1].put(queues[number].get())

            def answer_and_stall() -> None:
                if not in_timer:
                    woken.recv(1)
                writer.sendall(b"answer")
                stall(0.5)

            eventlet.spawn(read)
            for number in range(hops - 1):
                eventlet.spawn(relay, number)
            delay = 0.05 if in_timer else 0.0
            eventlet.spawn_after(delay, answer_and_stall)
            eventlet.sleep(0)
            wakes.sendall(b"x")
            with eventlet.Timeout(0.3):
                return queues[-1].get()

        for hops in (1, 2, 3):
            for in_timer in (False, True):
                found = run(functools.partial(body, hops, in_timer))
                self.assertEqual(b"answer", found)

    @pytest.mark.known_red
    def test_answer_while_suspended_within_a_poll_is_no_timeout(self) -> None:
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        child = subprocess.Popen(
            [sys.executable, "-c", SUSPENDED, str(theirs.fileno())],
            pass_fds=[theirs.fileno()],
            stdout=subprocess.PIPE,
        )
        self.addCleanup(child.stdout.close)
        self.addCleanup(child.wait)
        self.addCleanup(child.kill)
        child.stdout.readline()
        stall(0.3)
        os.kill(child.pid, signal.SIGSTOP)
        stall(0.1)
        ours.sendall(b"answer")
        stall(2.5)
        os.kill(child.pid, signal.SIGCONT)
        self.assertEqual(b"answer\n", child.stdout.readline())

    def test_timeout_of_a_read_is_raised(self) -> None:
        def body() -> str:
            _, server = connected_pair()
            server.settimeout(0.02)
            try:
                server.recv(10)
            except TimeoutError:
                return "timeout"
            return ""

        self.assertEqual("timeout", run(body))


class AlignedTimersTest(testtools.TestCase):
    def test_callbacks_of_one_period_are_due_together(self) -> None:
        # Callbacks that were registered at different times would otherwise
        # each wake up the process.
        def body() -> list[float]:
            clock = hubs.get_hub().clock
            service = timers.AlignedTimers()
            found: list[float] = []
            for _ in range(3):
                service.every(0.1, lambda: found.append(clock()))
                eventlet.sleep(0.02)
            eventlet.sleep(0.35)
            return found

        found = sorted(run(body))
        rounds = {round(at / 0.1 + 0.3) for at in found}
        self.assertTrue(len(found) > 2 * len(rounds), found)

    def test_rate_of_a_callback_is_kept(self) -> None:
        def body() -> int:
            found: list[int] = []
            timers.AlignedTimers().every(0.02, lambda: found.append(1))
            eventlet.sleep(0.5)
            return len(found)

        self.assertTrue(15 <= run(body) <= 26)

    def test_late_callback_is_not_repeated_at_once(self) -> None:
        for late in (0.0, 0.02, 0.05, 0.0999):
            clock = mock.Mock(return_value=1000.0 + late)
            with (
                mock.patch.object(timers, "_PHASE", 0.0),
                mock.patch.object(timers.time, "monotonic", clock),
            ):
                seconds = timers.seconds_to_next(0.1)
            self.assertTrue(0.01 <= seconds <= 0.11, (late, seconds))

    def test_periods_share_times_and_keep_their_rate(self) -> None:
        # Multiples of 0.15 and 0.25 s would need wakeups of their own between
        # those of 0.1 s.
        for period in (0.075, 0.1, 0.15, 0.25, 0.3, 0.5, 1.0):
            now = 1000.0
            clock = mock.Mock(side_effect=lambda: now)  # noqa: B023
            calls = 0
            with (
                mock.patch.object(timers, "_PHASE", 0.03),
                mock.patch.object(timers.time, "monotonic", clock),
            ):
                while now < 1030.0:
                    seconds = timers.seconds_to_next(period)
                    self.assertTrue(seconds <= period + 0.1001, period)
                    now += seconds
                    steps = (now - 0.03) / 0.1
                    self.assertAlmostEqual(steps, round(steps), 4)
                    calls += 1
            expected = 30.0 / max(period, 0.1)
            self.assertTrue(abs(calls - expected) <= 1 + 0.01 * calls, period)


class ListenerTest(testtools.TestCase):
    """The platform's listener on the hub of the hosted processes."""

    def test_new_connection_is_served_while_others_rest_at_the_bound(
        self,
    ) -> None:
        # Guards against a closed connection that ends only after the next poll.
        def body() -> list[bytes]:
            listener = http1_server.HttpListener(
                "127.0.0.1:0",
                lambda request, reply: reply.send(200, [], b"x"),
                limits=manifest.Limits,
                bounds=http1_server.Bounds(received_bytes.ReceivedBytes(0), 4),
            )
            host, port = listener.address.split(":")
            callers = []
            answers = []
            for _ in range(12):
                caller = eventlet.connect((host, int(port)))
                callers.append(caller)
                with eventlet.Timeout(_WAIT_SECONDS):
                    caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                    try:
                        answers.append(caller.recv(12))
                    except OSError:
                        answers.append(b"reset")
            listener.stop()
            for caller in callers:
                caller.close()
            return answers

        self.assertEqual([b"HTTP/1.1 200"] * 12, run(body))
