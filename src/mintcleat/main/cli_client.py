"""The command-line tool's HTTP client and its exit codes."""

import json
import os
import pathlib
import sys
from typing import Any
from typing import NoReturn
from urllib import parse as url

import urllib3

from mintcleat.adapters import admin_token
from mintcleat.adapters import response_checks
from mintcleat.domain import answer_ends

DEFAULT_ADMIN = "http://127.0.0.1:8081"
DEFAULT_TOKEN_FILE = "mintcleat-data/admin-token"
TIMEOUT = urllib3.Timeout(connect=3.0, read=20.0)

OK = 0
FAILED = 1
USAGE = 2
INVALID = 3
CONFLICT = 4
UNAUTHORIZED = 5
UNAVAILABLE = 6
UNKNOWN_OUTCOME = 7
WAIT_TIMEOUT = 8
NOT_FOUND = 9

EXIT_CODE_BY_STATUS = {
    400: INVALID,
    401: UNAUTHORIZED,
    404: NOT_FOUND,
    409: CONFLICT,
    413: INVALID,
    422: INVALID,
    429: UNAVAILABLE,
    503: UNAVAILABLE,
    504: UNKNOWN_OUTCOME,
}


def fail(code: int, detail: str, remedy: str) -> NoReturn:
    """Prints an error with its remedy and exits."""
    print(f"mintcleat: {detail}", file=sys.stderr)
    if remedy:
        print(f"remedy: {remedy}", file=sys.stderr)
    sys.exit(code)


class AdminClient:
    """HTTP client of the admin interface.

    The token is sent in a header only and is never printed.
    """

    def __init__(self, admin: str, token_file: str, data: str = "") -> None:
        """Sets the address and the token file.

        Args:
            admin: Address of an admin port; by default MINTCLEAT_ADMIN.
            token_file: File with the token; by default MINTCLEAT_TOKEN_FILE.
            data: The daemon's data folder, whose token is used without
                `token_file`.
        """
        self.admin = admin or os.environ.get("MINTCLEAT_ADMIN", DEFAULT_ADMIN)
        if data and not token_file:
            token_file = str(pathlib.Path(data) / admin_token.TOKEN_FILE)
        self.token_file = pathlib.Path(
            token_file
            or os.environ.get("MINTCLEAT_TOKEN_FILE", DEFAULT_TOKEN_FILE)
        )
        self.pool = response_checks.PoolManager(timeout=TIMEOUT, retries=False)

    def get(self, path: str, **query: object) -> Any:
        """Returns the decoded response to a GET request."""
        text = url.urlencode(query)
        return self._request("GET", f"{path}?{text}" if text else path, None)

    def post(self, path: str, body: dict[str, Any]) -> Any:
        """Returns the decoded response to a POST request."""
        return self._request("POST", path, body)

    def delete(self, path: str) -> Any:
        """Returns the decoded response to a DELETE request."""
        return self._request("DELETE", path, None)

    def _request(self, method: str, path: str, body: Any) -> Any:
        base = self.admin if "://" in self.admin else f"http://{self.admin}"
        data = None if body is None else json.dumps(body).encode()
        headers = {"Authorization": f"Bearer {self._token()}"}
        try:
            response = self.pool.request(
                method, f"{base}/admin/v1/{path}", body=data, headers=headers
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            fail(
                UNAVAILABLE,
                f"{self.admin} cannot be reached.",
                "Start the daemon, or set its admin address with --admin.",
            )
        except urllib3.exceptions.HTTPError:
            self._fail_unanswered(method)
        if not answer_ends.states_end(response.status, response.headers):
            self._fail_unanswered(method)
        return self._decode(response)

    def _fail_unanswered(self, method: str) -> NoReturn:
        """Exits after a request that has no whole response."""
        if method != "GET":
            fail(
                UNKNOWN_OUTCOME,
                f"{self.admin} received the request but did not respond.",
                "Run the same command again; it takes effect once.",
            )
        fail(
            UNAVAILABLE,
            f"{self.admin} did not respond.",
            "Run the same command again; check the daemon's log.",
        )

    def _token(self) -> str:
        try:
            return self.token_file.read_text().strip()
        except OSError as error:
            fail(
                UNAUTHORIZED,
                f"No admin token in {self.token_file}: {error.strerror}.",
                "Set the daemon's data folder with --data, or the token's"
                " file with --token_file.",
            )

    def _decode(self, response: urllib3.BaseHTTPResponse) -> Any:
        try:
            answer = json.loads(response.data)
        except ValueError:
            fail(
                FAILED,
                f"{self.admin} responded {response.status} without JSON.",
                "Check that --admin is the address of a mintcleat admin port.",
            )
        if response.status < 300:
            return answer
        code = EXIT_CODE_BY_STATUS.get(response.status, FAILED)
        fail(
            code,
            answer.get("detail", f"HTTP {response.status}"),
            answer.get("remedy", ""),
        )
