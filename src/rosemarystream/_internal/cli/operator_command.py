"""Base of the commands that use the administration API."""

import http.client
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa
import msgspec

from rosemarystream._internal.cli.base_command import BaseCommand, print_json
from rosemarystream._internal.exceptions import (
    ErrorKind,
    PlatformError,
    RequestError,
    RosemarystreamError,
)
from rosemarystream._internal.utils.address import split_address

KEY_VARIABLE = "ROSEMARYSTREAM_OPERATOR"
TIMEOUT_SECONDS = 30.0
HTTP_ERROR = 400


@dataclass(kw_only=True)
class OperatorCommand(BaseCommand):
    """Base of the commands that call the administration API of one host."""

    host: Annotated[
        str, cappa.Arg(long="--host", help="Operator address of any host, IP:PORT.")
    ] = ""
    key_file: Annotated[
        Path | None,
        cappa.Arg(
            long="--key-file",
            help=f"File with NAME:KEY; without it the variable {KEY_VARIABLE} is read.",
        ),
    ] = None
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False

    def call_host(self, method: str, path: str, body: Any = None) -> Any:
        """Send a request with the operator's key and return the decoded answer.

        Raises
        ------
        RosemarystreamError
            With the kind and message of the host's error answer.
        """
        if not self.host:
            raise RequestError("no host: give --host IP:PORT")
        headers = {"Authorization": f"Bearer {self._read_key()}"}
        return send_request(self.host, method, path, body=body, headers=headers)

    def _read_key(self) -> str:
        if self.key_file is not None:
            return self.key_file.read_text(encoding="utf-8").strip()
        key = os.environ.get(KEY_VARIABLE)
        if not key:
            raise RequestError(
                f"no key: give --key-file FILE or set {KEY_VARIABLE}=NAME:KEY"
            )
        return key

    def print_result(self, value: Any, lines: list[str]) -> None:
        """Print a value as JSON if ``--json`` is given, otherwise as lines."""
        if self.json:
            print_json(value)
        else:
            print("\n".join(lines))


def send_request(
    address: str, method: str, path: str, *, body: Any, headers: dict[str, str]
) -> Any:
    """Send a request to a host and return the decoded JSON of the answer.

    Raises
    ------
    PlatformError
        If the host does not answer.
    RosemarystreamError
        With the kind and message of the host's error answer.
    """
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_SECONDS)
    data = None if body is None else msgspec.json.encode(body)
    try:
        connection.request(method, path, body=data, headers=headers)
        answer = connection.getresponse()
        content = answer.read()
    except (OSError, http.client.HTTPException) as error:
        raise PlatformError(
            f"no answer from {address}: {error}; name another host"
        ) from error
    finally:
        connection.close()
    return _decode_answer(answer.status, content)


def _decode_answer(status: int, content: bytes) -> Any:
    value = msgspec.json.decode(content)
    if status < HTTP_ERROR:
        return value
    kind = ErrorKind(value.get("error", ErrorKind.INTERNAL))
    raise RosemarystreamError(value.get("message", "no message"), kind=kind)
