"""The stand-ins run no request whose body was cut short."""

import eventlet
import testtools

from mintcleat.standins import service

HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n"


class CutBodyTest(testtools.TestCase):
    def test_request_whose_body_is_cut_does_not_run(self) -> None:
        plain = service.Service()
        self.addCleanup(plain.stop)
        host, port = plain.address.split(":")
        for body in (b"whole body", b"cut"):
            sock = eventlet.connect((host, int(port)))
            sock.sendall(HEAD + body)
            sock.shutdown(1)
            answer = sock.recv(4096)
            sock.close()
            self.assertTrue(answer.startswith(b"HTTP/1.1 "), answer)
        self.assertEqual({("whole body", "/x"): 1}, dict(plain.runs))
