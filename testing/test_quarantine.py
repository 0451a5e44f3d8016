"""Who is suspected, and who is refused."""

import testtools

from mintcleat.decisions import quarantine


class QuarantineTest(testtools.TestCase):
    def test_the_request_that_crashes_upstreams_is_found(self) -> None:
        """One request crashes each upstream that runs it.

        At the first crash three run. The innocent two run again apart from
        other suspects, end well and are cleared; the guilty one crashes two
        more upstreams as the only suspect there and is refused from then on.
        """
        register = quarantine.Register()
        register.crashed("u1", [b"bad", b"one", b"two"], 0.0)
        register.succeeded(b"one")
        register.succeeded(b"two")
        register.crashed("u2", [b"bad", b"three"], 1.0)
        self.assertFalse(register.is_quarantined(b"bad", 1.0))
        caught = register.crashed("u3", [b"bad", b"four"], 2.0)
        self.assertEqual([b"bad"], caught)
        innocents = (b"one", b"two", b"three", b"four")
        refused = [
            item for item in innocents if register.is_quarantined(item, 2.0)
        ]
        self.assertEqual([], refused)

    def test_two_crashes_of_one_upstream_are_its_own_fault(self) -> None:
        register = quarantine.Register()
        register.crashed("u1", [b"one"], 0.0)
        register.crashed("u1", [b"one"], 1.0)
        self.assertFalse(register.is_quarantined(b"one", 1.0))

    def test_suspects_that_crash_together_are_not_told_apart(self) -> None:
        register = quarantine.Register()
        for number in range(5):
            register.crashed(f"u{number}", [b"one", b"two"], 0.0)
        self.assertEqual({}, register.quarantined)

    def test_quarantine_expires_and_can_be_released(self) -> None:
        register = quarantine.Register(expiry=10.0)
        for upstream in ("u1", "u2"):
            register.crashed(upstream, [b"bad"], 0.0)
        self.assertTrue(register.is_quarantined(b"bad", 9.0))
        self.assertFalse(register.is_quarantined(b"bad", 10.0))
        self.assertFalse(register.release(b"bad"))

    def test_lapsed_suspicions_take_no_memory(self) -> None:
        register = quarantine.Register(expiry=10.0)
        register.crashed("u1", [b"one", b"two"], 0.0)
        register.expire(10.0)
        self.assertEqual({}, register.suspects)
