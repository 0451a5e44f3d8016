"""Hosts and paths that are written differently and mean the same."""

import testtools

from mintcleat.domain import uris


class HostTest(testtools.TestCase):
    def test_case_port_and_final_dot_are_no_part_of_a_host(self) -> None:
        for written, expected in {
            "h.example": "h.example",
            "H.Example": "h.example",
            "h.example:8080": "h.example",
            "h.example:": "h.example",
            "h.example.": "h.example",
            "H.EXAMPLE.:80": "h.example",
            "h%2Eexample": "h.example",
            "%48": "h",
            "": "",
            ".": ".",
            ":80": ":80",
        }.items():
            self.assertEqual(expected, uris.normal_host(written), written)

    def test_port_of_an_ipv6_address_is_told_from_its_last_group(self) -> None:
        for written, expected in {
            "[::1]": "[::1]",
            "[::1]:8080": "[::1]",
            "[FD00::A]:80": "[fd00::a]",
            "::1": "::1",
        }.items():
            self.assertEqual(expected, uris.normal_host(written), written)


class PathTest(testtools.TestCase):
    def test_equivalent_encodings_are_equal(self) -> None:
        for written, expected in {
            "/a/": "/a/",
            "/%61/": "/a/",
            "/a%2db%2Ec%5Fd%7e/": "/a-b.c_d~/",
            "/a%2fb/": "/a%2Fb/",
            "/A/": "/A/",
            # Decoded once only, or it would name another path.
            "/%2561/": "/%2561/",
            "/%zz%4/": "/%zz%4/",
        }.items():
            self.assertEqual(expected, uris.normal_path(written), written)

    def test_characters_that_a_target_must_encode_equal_their_encoding(
        self,
    ) -> None:
        # A route with such a prefix would match no request.
        for written, expected in {
            "/ü/": "/%C3%BC/",
            "/a b/": "/a%20b/",
            '/"{<>}^`|\\/': "/%22%7B%3C%3E%7D%5E%60%7C%5C/",
            "/日/%61": "/%E6%97%A5/a",
            "/a?b#c/": "/a%3Fb%23c/",
        }.items():
            self.assertEqual(expected, uris.normal_path(written), written)
