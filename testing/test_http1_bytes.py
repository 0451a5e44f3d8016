"""Tests what the HTTP/1.1 server and client make of received bytes.

Each byte sequence is received whole, byte by byte and split at every position,
because a message boundary may be lost where two reads meet. The results are
compared with those of h11; where mintcleat is stricter, with a recorded one.
"""

import testtools

from fakes import h11_reference
from fakes import scripted_socket
from mintcleat.adapters import http1_client
from mintcleat.adapters import http1_server
from mintcleat.domain import answer_ends
from mintcleat.domain import errors
from mintcleat.domain import manifest

LIMITS = manifest.Limits(header_bytes=512, body_bytes=64)
HOST = b"Host: h\r\n"
GET = b"GET /a HTTP/1.1\r\n" + HOST
POST = b"POST /a HTTP/1.1\r\n" + HOST
CHUNKED = b"Transfer-Encoding: chunked\r\n"
OK = b"HTTP/1.1 200 OK\r\nX: y\r\n"

SAME_REQUESTS = {
    "get": GET + b"\r\n",
    "nothing": b"",
    "truncated head": GET,
    "truncated start line": b"GET /a HT",
    "two pipelined": GET + b"\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
    "pipelined bodies": POST
    + b"Content-Length: 3\r\n\r\nabc"
    + POST
    + CHUNKED
    + b"\r\n2\r\nde\r\n0\r\n\r\n"
    + GET
    + b"\r\n",
    "length": POST + b"Content-Length: 5\r\n\r\nhello",
    "length 0": POST + b"Content-Length: 0\r\n\r\n",
    "truncated body": POST + b"Content-Length: 5\r\n\r\nhell",
    "chunks": POST + CHUNKED + b"\r\n3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n",
    "chunk extension": POST + CHUNKED + b"\r\n3;a=b\r\nabc\r\n0;c\r\n\r\n",
    "space after chunk size": POST + CHUNKED + b"\r\n3 \r\nabc\r\n0\r\n\r\n",
    "trailers": POST + CHUNKED + b"\r\n1\r\na\r\n0\r\nA: b\r\nC: d\r\n\r\n",
    "invalid trailer": POST + CHUNKED + b"\r\n1\r\na\r\n0\r\nA b\r\n\r\n",
    "chunk data with line ends": POST
    + CHUNKED
    + b"\r\n4\r\n\r\n\r\n\r\n0\r\n\r\n",
    "truncated chunk": POST + CHUNKED + b"\r\n3\r\nab",
    "no last chunk": POST + CHUNKED + b"\r\n3\r\nabc\r\n",
    "truncated trailers": POST + CHUNKED + b"\r\n0\r\nA: b\r\n",
    "invalid chunk size": POST + CHUNKED + b"\r\nxyz\r\nabc\r\n0\r\n\r\n",
    "negative chunk size": POST + CHUNKED + b"\r\n-1\r\nabc\r\n0\r\n\r\n",
    "hexadecimal prefix": POST + CHUNKED + b"\r\n0x3\r\nabc\r\n0\r\n\r\n",
    "empty chunk size": POST + CHUNKED + b"\r\n\r\nabc\r\n0\r\n\r\n",
    "long chunk size": POST + CHUNKED + b"\r\n" + b"0" * 30 + b"3\r\nabc\r\n",
    "chunk too long": POST + CHUNKED + b"\r\n3\r\nabcd\r\n0\r\n\r\n",
    "chunk ends with LF": POST + CHUNKED + b"\r\n3\nabc\r\n0\r\n\r\n",
    "HTTP/1.0": b"GET /a HTTP/1.0\r\n\r\n" + GET + b"\r\n",
    "connection close": GET + b"Connection: close\r\n\r\n" + GET + b"\r\n",
    "connection list": GET + b"Connection: x, Close\r\n\r\n" + GET + b"\r\n",
    "connection twice": GET
    + b"Connection: x\r\nConnection: close\r\n\r\n"
    + GET
    + b"\r\n",
    "head": b"HEAD /a HTTP/1.1\r\n" + HOST + b"\r\n" + GET + b"\r\n",
    "upgrade": GET
    + b"Connection: upgrade\r\nUpgrade: h2c\r\n\r\n"
    + GET
    + b"\r\n",
    "upgrade with body": POST
    + b"Connection: upgrade\r\nUpgrade: h2c\r\nContent-Length: 2\r\n\r\nab"
    + GET
    + b"\r\n",
    "asterisk": b"OPTIONS * HTTP/1.1\r\n" + HOST + b"\r\n",
    "white space around a value": GET + b"A: \t b  c \t \r\n\r\n",
    "empty value": GET + b"A:\r\nB: \r\n\r\n",
    "value above ASCII": GET + b"A: \xe9\xff\r\n\r\n",
    "repeated header": GET + b"A: b\r\na: c\r\n\r\n",
    "no host": b"GET /a HTTP/1.1\r\nA: b\r\n\r\n",
    "two hosts": GET + b"host: i\r\n\r\n",
    "space before colon": GET + b"A : b\r\n\r\n",
    "no colon": GET + b"A\r\n\r\n",
    "no name": GET + b": b\r\n\r\n",
    "invalid name": GET + b"A(: b\r\n\r\n",
    "NUL in value": GET + b"A: b\x00c\r\n\r\n",
    "folded first line": b"GET /a HTTP/1.1\r\n Host: h\r\n\r\n",
    "blank line first": b"\r\n" + GET + b"\r\n",
    "TLS": b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
    "no version": b"GET /a\r\nHost: h\r\n\r\n",
    "other protocol": b"GET /a RTSP/1.0\r\nHost: h\r\n\r\n",
    "two spaces": b"GET  /a HTTP/1.1\r\nHost: h\r\n\r\n",
    "space in target": b"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
    "target above ASCII": b"GET /\xc3 HTTP/1.1\r\nHost: h\r\n\r\n",
    "lengths differ": POST
    + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "list of lengths": POST + b"Content-Length: 3, 4\r\n\r\nabcd",
    "signed length": POST + b"Content-Length: +3\r\n\r\nabc",
    "negative length": POST + b"Content-Length: -3\r\n\r\nabc",
    "hexadecimal length": POST + b"Content-Length: 0x3\r\n\r\nabc",
    "empty length": POST + b"Content-Length: \r\n\r\nabc",
    "long length": POST + b"Content-Length: " + b"9" * 25 + b"\r\n\r\nabc",
    "unknown coding": POST + b"Transfer-Encoding: gzip\r\n\r\n",
    "similar coding": POST + b"Transfer-Encoding: xchunked\r\n\r\n",
    "two codings": POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
    "coding in capitals": POST
    + b"Transfer-Encoding: Chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
}

# Requests that h11 accepts, or rejects otherwise, with the accepted targets and
# the statuses here. A differing view of a message's end allows smuggling.
STRICTER_REQUESTS: dict[str, tuple[bytes, list[str], list[int]]] = {
    "length and chunks": (
        POST + b"Content-Length: 3\r\n" + CHUNKED + b"\r\n0\r\n\r\n",
        [],
        [400],
    ),
    "chunks and length": (
        POST + CHUNKED + b"Content-Length: 3\r\n\r\n0\r\n\r\n",
        [],
        [400],
    ),
    "equal lengths": (
        POST + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        [],
        [400],
    ),
    "list of equal lengths": (
        POST + b"Content-Length: 3, 3\r\n\r\nabc",
        [],
        [400],
    ),
    "chunked twice": (
        POST + CHUNKED + CHUNKED + b"\r\n0\r\n\r\n",
        [],
        [400],
    ),
    "chunked after another coding": (
        POST + b"Transfer-Encoding: gzip\r\n" + CHUNKED + b"\r\n0\r\n\r\n",
        [],
        [400],
    ),
    "empty coding": (
        POST + b"Transfer-Encoding:\r\n\r\n",
        [],
        [400],
    ),
    "chunks with HTTP/1.0": (
        b"POST /a HTTP/1.0\r\n" + CHUNKED + b"\r\n0\r\n\r\n",
        [],
        [400],
    ),
    "LF only": (b"GET /a HTTP/1.1\nHost: h\n\n", [], [400]),
    "LF after a header": (GET + b"A: b\n\r\n", [], [400]),
    "LF in a header": (GET + b"A: b\nC: d\r\n\r\n", [], [400]),
    "LF before the body": (GET + b"\n", [], [400]),
    "CR in a value": (GET + b"A: b\rc\r\n\r\n", [], [400]),
    "CR before CR LF": (GET + b"A: b\r\r\n\r\n", [], [400]),
    "folded line": (GET + b"A: b\r\n c\r\n\r\n", [], [400]),
    "folded line with tab": (GET + b"A: b\r\n\tc\r\n\r\n", [], [400]),
    "folded length": (
        POST + b"Content-Length:\r\n 3\r\n\r\nabc",
        [],
        [400],
    ),
    "control character": (GET + b"A: b\x01c\r\n\r\n", [], [400]),
    "unknown method": (
        b"BREW /a HTTP/1.1\r\nHost: h\r\n\r\n",
        [],
        [501],
    ),
    "HTTP/2.0": (b"GET /a HTTP/2.0\r\nHost: h\r\n\r\n", [], [400]),
    "HTTP/0.9": (b"GET /a HTTP/0.9\r\nHost: h\r\n\r\n", [], [400]),
    "valid, then invalid": (
        GET + b"\r\n" + GET + b"A : b\r\n\r\n",
        ["/a"],
        [200, 400],
    ),
    "target with a user": (
        b"GET http://u@h/a HTTP/1.1\r\n" + HOST + b"\r\n",
        [],
        [400],
    ),
    "target without a host": (
        b"GET http:///a HTTP/1.1\r\n" + HOST + b"\r\n",
        [],
        [400],
    ),
    "header limit": (
        GET + b"A: " + b"b" * LIMITS.header_bytes + b"\r\n\r\n",
        [],
        [431],
    ),
    "body limit, length": (
        POST + b"Content-Length: 65\r\n\r\n" + b"b" * 65,
        [],
        [413],
    ),
    "body limit, chunks": (
        POST + CHUNKED + b"\r\n28\r\n" + b"b" * 40 + b"\r\n28\r\n" + b"b" * 40,
        [],
        [413],
    ),
}

SAME_RESPONSES = {
    "length": ("GET", OK + b"Content-Length: 5\r\n\r\nhello"),
    "length 0": ("GET", OK + b"Content-Length: 0\r\n\r\n"),
    "truncated": ("GET", OK + b"Content-Length: 5\r\n\r\nhell"),
    "extra bytes": ("GET", OK + b"Content-Length: 5\r\n\r\nhello!"),
    "chunks": ("GET", OK + CHUNKED + b"\r\n5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n"),
    "bytes after chunks": ("GET", OK + CHUNKED + b"\r\n0\r\n\r\nx"),
    "no last chunk": ("GET", OK + CHUNKED + b"\r\n5\r\nhello\r\n"),
    "invalid chunk": ("GET", OK + CHUNKED + b"\r\nz\r\nhello\r\n0\r\n\r\n"),
    "until close": ("GET", OK + b"\r\nhello"),
    "until close, empty": ("GET", OK + b"\r\n"),
    "HTTP/1.0": ("GET", b"HTTP/1.0 200 OK\r\nA: b\r\n\r\nhello"),
    "connection close": (
        "GET",
        OK + b"Connection: close\r\nContent-Length: 1\r\n\r\na",
    ),
    "head": ("HEAD", OK + b"Content-Length: 5\r\n\r\n"),
    "head, chunked": ("HEAD", OK + CHUNKED + b"\r\n"),
    "head, no length": ("HEAD", OK + b"\r\n"),
    "no content": ("GET", b"HTTP/1.1 204 No Content\r\n\r\n"),
    "not modified": (
        "GET",
        b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
    ),
    "informational": (
        "GET",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\n"
        + OK
        + b"Content-Length: 1\r\n\r\na",
    ),
    "informational only": ("GET", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "other protocol": (
        "GET",
        b"HTTP/1.1 101 Switching\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\n",
    ),
    "no reason": ("GET", b"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n"),
    "nothing": ("GET", b""),
    "truncated head": ("GET", OK),
    "not HTTP": ("GET", b"SSH-2.0-x\r\n\r\n"),
    "status of two digits": ("GET", b"HTTP/1.1 20 OK\r\n\r\n"),
    "status below 100": ("GET", b"HTTP/1.1 099 OK\r\n\r\n"),
    "unknown coding": ("GET", OK + b"Transfer-Encoding: gzip\r\n\r\n"),
    "two codings": ("GET", OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n"),
    "lengths differ": (
        "GET",
        OK + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    ),
    "space before colon": ("GET", OK + b"A : b\r\n\r\n"),
}

# Requests whose target is a whole URI, with the target and the host that are
# passed on. h11 leaves the target as it is.
ABSOLUTE_REQUESTS = {
    "host": (b"GET http://h/a?b=c HTTP/1.1\r\n" + HOST, "/a?b=c", "h"),
    "other host": (b"GET http://i:80/a HTTP/1.1\r\n" + HOST, "/a", "i:80"),
    "scheme in capitals": (b"GET HTTP://i/ HTTP/1.1\r\n" + HOST, "/", "i"),
    "HTTP/1.0 without a host": (b"GET http://i/a HTTP/1.0\r\n", "/a", "i"),
    "no path": (b"GET http://i HTTP/1.1\r\n" + HOST, "/", "i"),
    "query without a path": (
        b"GET https://i?b=c HTTP/1.1\r\n" + HOST,
        "/?b=c",
        "i",
    ),
    "IPv6": (b"GET http://[::1]:80/a HTTP/1.1\r\n" + HOST, "/a", "[::1]:80"),
    "URI in the path": (
        b"GET /http://i/a HTTP/1.1\r\n" + HOST,
        "/http://i/a",
        "h",
    ),
}

# Responses that h11 takes otherwise, with the body and whether the connection
# is used again here; a body of None stands for an error.
STRICTER_RESPONSES: dict[str, tuple[bytes, bytes | None, bool]] = {
    "length and chunks": (
        OK + b"Content-Length: 3\r\n" + CHUNKED + b"\r\n1\r\na\r\n0\r\n\r\n",
        b"a",
        False,
    ),
    "equal lengths": (
        OK + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
        None,
        False,
    ),
    "folded line": (OK + b"A: b\r\n c\r\n\r\n", None, False),
    "LF only": (b"HTTP/1.1 200 OK\nContent-Length: 0\n\n", None, False),
    "HTTP/2.0": (b"HTTP/2.0 200 OK\r\n\r\n", None, False),
}


def serve(
    parts: list[bytes],
) -> tuple[list[h11_reference.Message], list[int], bytes]:
    """Returns the handled requests, the response statuses and all bytes."""
    requests: list[http1_server.Request] = []

    def handle(
        request: http1_server.Request, reply: http1_server.Reply
    ) -> None:
        requests.append(request)
        reply.send(200, [], b"")

    listener = http1_server.HttpListener("127.0.0.1:0", handle, lambda: LIMITS)
    listener.stop()
    sock = scripted_socket.ScriptedSocket()
    connection = http1_server.Connection(listener, sock, "peer")
    connection.requests.reader = scripted_socket.ScriptedReader(parts)
    connection.serve()
    methods = [request.method for request in requests]
    responses = h11_reference.parse_responses(sock.sent, methods)
    messages = [
        h11_reference.Message(
            (request.method, request.target), request.headers, request.body
        )
        for request in requests
    ]
    return messages, [int(each.start[0]) for each in responses], sock.sent


def fetch(
    method: str, parts: list[bytes], reset: bool = False
) -> h11_reference.Exchange:
    sock = scripted_socket.ScriptedSocket()
    connection = http1_client.Connection("upstream", sock)
    connection.reader = scripted_socket.ScriptedReader(parts, reset)
    connection.send(method, "/", [("host", "h")], b"")
    try:
        head = connection.read_head()
        body = b"".join(iter(connection.read_data, None))
    except errors.StreamClosed:
        return h11_reference.Exchange(None, False)
    message = h11_reference.Message(
        (str(head.status), head.reason), tuple(head.fields), body
    )
    # What follows the response may arrive with it or later.
    connection.received += b"".join(connection.reader.parts)
    return h11_reference.Exchange(message, connection.prepare_reuse(0.0))


class RequestTest(testtools.TestCase):
    def test_requests_are_read_as_by_h11(self) -> None:
        for name, data in SAME_REQUESTS.items():
            expected = h11_reference.serve([data], LIMITS.header_bytes)
            for parts in scripted_socket.splits(data):
                requests, statuses, _ = serve(parts)
                self.assertEqual(
                    _folded_codings(expected),
                    _folded_codings((requests, statuses)),
                    (name, parts),
                )

    def test_whole_uri_as_target_is_split_into_host_and_path(self) -> None:
        fields = b"A: b\r\nContent-Length: 1\r\n\r\nx"
        for name, (head, target, host) in ABSOLUTE_REQUESTS.items():
            expected = h11_reference.Message(
                ("GET", target),
                (("host", host), ("a", "b"), ("content-length", "1")),
                b"x",
            )
            for parts in scripted_socket.splits(head + fields):
                requests, statuses, _ = serve(parts)
                self.assertEqual([expected], requests, (name, parts))
                self.assertEqual([200], statuses, (name, parts))

    def test_ambiguous_requests_are_rejected(self) -> None:
        for name, (data, targets, expected) in STRICTER_REQUESTS.items():
            for parts in scripted_socket.splits(data):
                requests, statuses, _ = serve(parts)
                found = [request.start[1] for request in requests]
                self.assertEqual(
                    (targets, expected), (found, statuses), (name, parts)
                )

    def test_rejection_closes_the_connection(self) -> None:
        # The bytes after an invalid request could hold a hidden one.
        for data, _, _ in STRICTER_REQUESTS.values():
            requests, statuses, sent = serve([data + GET + b"\r\n"])
            self.assertLess(len(requests), len(statuses))
            self.assertIn(b"connection: close", sent)

    def test_line_without_cr_is_rejected_at_once(self) -> None:
        # Otherwise the caller waits until the header timeout.
        sock = scripted_socket.ScriptedSocket()
        connection = http1_client.Connection("upstream", sock)
        connection.reader = scripted_socket.ScriptedReader(
            [b"HTTP/1.1 200 OK\n", OK]
        )
        connection.send("GET", "/", [], b"")
        self.assertRaises(errors.StreamClosed, connection.read_head)
        self.assertEqual([OK], connection.reader.parts)


class ContinueTest(testtools.TestCase):
    HEAD = POST + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"

    def test_caller_that_waits_is_told_to_continue(self) -> None:
        requests, _, sent = serve([self.HEAD, b"ab"])
        self.assertEqual(b"ab", requests[0].body)
        self.assertTrue(sent.startswith(b"HTTP/1.1 100 "))
        self.assertEqual(1, sent.count(b"HTTP/1.1 100 "))

    def test_caller_that_sent_its_body_is_not(self) -> None:
        requests, _, sent = serve([self.HEAD + b"ab"])
        self.assertEqual(b"ab", requests[0].body)
        self.assertNotIn(b"HTTP/1.1 100 ", sent)

    def test_caller_with_http_1_0_is_not(self) -> None:
        head = self.HEAD.replace(b"HTTP/1.1", b"HTTP/1.0")
        _, statuses, sent = serve([head, b"ab"])
        self.assertEqual([200], statuses)
        self.assertNotIn(b" 100 ", sent)


class ResponseTest(testtools.TestCase):
    def test_responses_are_read_as_by_h11(self) -> None:
        for name, (method, data) in SAME_RESPONSES.items():
            expected = h11_reference.fetch(method, [data])
            for parts in scripted_socket.splits(data):
                self.assertEqual(expected, fetch(method, parts), (name, parts))

    def test_ambiguous_responses_are_not_reused(self) -> None:
        for name, (data, body, reusable) in STRICTER_RESPONSES.items():
            for parts in scripted_socket.splits(data):
                found = fetch("GET", parts)
                found_body = found.message.body if found.message else None
                self.assertEqual(
                    (body, reusable),
                    (found_body, found.reusable),
                    (name, parts),
                )

    def test_reset_never_completes_a_response(self) -> None:
        # A body without length would look complete after a reset.
        for name, (method, data) in SAME_RESPONSES.items():
            expected = h11_reference.fetch(method, [data], reset=True)
            for parts in scripted_socket.splits(data):
                found = fetch(method, parts, reset=True)
                self.assertEqual(expected, found, (name, parts))

    def test_repeated_response_is_skipped(self) -> None:
        first = OK + CHUNKED + b"\r\n5\r\nfirst\r\n0\r\n\r\n"
        second = OK + b"Content-Length: 6\r\n\r\nsecond"
        for parts in scripted_socket.splits(first + second):
            sock = scripted_socket.ScriptedSocket()
            connection = http1_client.Connection("upstream", sock)
            connection.reader = scripted_socket.ScriptedReader(parts)
            connection.send("GET", "/", [], b"")
            connection.read_head()
            connection.skip_response()
            connection.read_head()
            body = b"".join(iter(connection.read_data, None))
            self.assertEqual(b"second", body)
            self.assertTrue(connection.prepare_reuse(0.0))

    def test_response_that_ends_the_connection_is_not_skipped(self) -> None:
        # No further response can follow it.
        close = OK + b"Connection: close\r\nContent-Length: 0\r\n\r\n"
        for data in (close, OK + b"\r\nuntil close"):
            sock = scripted_socket.ScriptedSocket()
            connection = http1_client.Connection("upstream", sock)
            connection.reader = scripted_socket.ScriptedReader([data])
            connection.send("GET", "/", [], b"")
            connection.read_head()
            self.assertRaises(errors.StreamClosed, connection.skip_response)


def _folded_codings(
    found: tuple[list[h11_reference.Message], list[int]],
) -> tuple[list[h11_reference.Message], list[int]]:
    """Returns the result with transfer codings in lower case, as h11 has it."""
    requests = [
        request._replace(
            headers=tuple(
                (name, value.lower() if name == "transfer-encoding" else value)
                for name, value in request.headers
            )
        )
        for request in found[0]
    ]
    return requests, found[1]


class AnswerEndTest(testtools.TestCase):
    """How the client finds that an answer has ended, at each cut."""

    def end_of(
        self, method: str, parts: list[bytes], reset: bool = False
    ) -> answer_ends.Kind | None:
        sock = scripted_socket.ScriptedSocket()
        connection = http1_client.Connection("upstream", sock)
        connection.reader = scripted_socket.ScriptedReader(parts, reset)
        connection.send(method, "/", [("host", "h")], b"")
        try:
            connection.read_head()
            while connection.read_data() is not None:
                pass
        except errors.StreamClosed:
            pass
        return connection.end

    def test_whole_answers_without_a_body_have_a_marked_end(self) -> None:
        for name in (
            "length 0",
            "head",
            "head, chunked",
            "head, no length",
            "no content",
            "not modified",
            "informational",
        ):
            method, data = SAME_RESPONSES[name]
            for parts in scripted_socket.splits(data):
                found = self.end_of(method, parts)
                self.assertIs(answer_ends.Kind.MARKED, found, name)

    def test_cut_answers_have_no_marked_end(self) -> None:
        chunks = OK + CHUNKED + b"\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n"
        length = OK + b"Content-Length: 5\r\n\r\nhello"
        for whole in (length, chunks):
            head = whole.index(b"\r\n\r\n") + 4
            for size in range(head, len(whole)):
                cut = whole[:size]
                kinds = (
                    self.end_of("GET", [cut]),
                    self.end_of("GET", [cut], reset=True),
                )
                self.assertEqual(
                    (answer_ends.Kind.CUT, answer_ends.Kind.RESET), kinds, cut
                )
            self.assertIs(answer_ends.Kind.MARKED, self.end_of("GET", [whole]))

    def test_end_of_a_connection_marks_nothing(self) -> None:
        whole = OK + b"\r\nhello"
        self.assertIs(answer_ends.Kind.CLOSED, self.end_of("GET", [whole]))
        self.assertIs(
            answer_ends.Kind.RESET, self.end_of("GET", [whole], reset=True)
        )

    def test_invalid_framing_is_told(self) -> None:
        _, data = SAME_RESPONSES["invalid chunk"]
        self.assertIs(answer_ends.Kind.INVALID, self.end_of("GET", [data]))
