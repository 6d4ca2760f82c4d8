"""WSGI application of the administration API.

The API is described in docs/operators/administration.md.
"""

import hashlib
import hmac
from collections.abc import Callable
from typing import Annotated, Any

import falcon
import msgspec

from rosemarystream._internal.callers.app import answer_error
from rosemarystream._internal.callers.request_parser import read_bearer_key
from rosemarystream._internal.exceptions import (
    ErrorKind,
    RequestError,
    RosemarystreamError,
)
from rosemarystream._internal.models.configuration import RecallKind
from rosemarystream._internal.operators.administration import Administration
from rosemarystream._internal.settings import OperatorSection

MAX_BODY_BYTES = 32_000_000
MAX_DUMP_BYTES = 4_000_000
ROLE_RIGHTS = {
    "viewer": frozenset({"read"}),
    "operator": frozenset({"read", "recall"}),
    "admin": frozenset({"read", "recall", "write"}),
}


class RecallBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/recalls``."""

    kind: RecallKind
    target: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


class SheetBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/sheet/plan`` and ``/apply``."""

    sheet: str
    base: int | None = None


class OperatorAccess:
    """Authenticates operators and checks the rights of their roles.

    Parameters
    ----------
    sections : list of OperatorSection
        Names, roles and key digests of the operators.
    """

    def __init__(self, *, sections: list[OperatorSection]) -> None:
        self._sections = {section["name"]: section for section in sections}

    def authorise(self, req: falcon.Request, right: str) -> str:
        """Authenticate the operator of a request and check a right.

        Returns
        -------
        str
            Name of the operator.

        Raises
        ------
        RequestError
            If the name or the key is wrong, or the role lacks the right.
        """
        name, _, key = read_bearer_key(req).partition(":")
        digest = hashlib.sha256(key.encode()).hexdigest()
        section = self._sections.get(name)
        known = section["key_sha256"] if section else "0" * 64
        if not hmac.compare_digest(digest, known) or section is None:
            raise RequestError("wrong operator or key", kind=ErrorKind.UNAUTHORIZED)
        if right not in ROLE_RIGHTS[section["role"]]:
            raise RequestError(
                f"the role {section['role']} may not do this", kind=ErrorKind.FORBIDDEN
            )
        return name


class _AdministrationResource:
    """Base of the resources of the administration API."""

    def __init__(
        self, *, operators: OperatorAccess, administration: Administration
    ) -> None:
        self._operators = operators
        self._administration = administration

    def _read(self, req: falcon.Request, body_type: Any) -> Any:
        data = req.bounded_stream.read(MAX_BODY_BYTES + 1)
        if len(data) > MAX_BODY_BYTES:
            raise RequestError("the body is too large", kind=ErrorKind.TOO_LARGE)
        try:
            return msgspec.json.decode(data, type=body_type)
        except msgspec.DecodeError as error:
            raise RequestError(f"the body is wrong: {error}") from None


class SheetResource(_AdministrationResource):
    """``GET /v1/sheet``, ``POST /v1/sheet/plan`` and ``/v1/sheet/apply``."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the sheet in force."""
        self._operators.authorise(req, "read")
        sheet = self._administration.get_current_sheet()
        resp.media = {
            section: [row._asdict() for row in getattr(sheet, section)]
            for section in sheet._fields
        }

    def on_post_plan(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the changes that applying a sheet would make."""
        operator = self._operators.authorise(req, "read")
        body = self._read(req, SheetBody)
        plan = self._administration.plan(body.sheet, operator=operator)
        resp.media = {
            "base": plan.base,
            "changes": [change._asdict() for change in plan.changes],
        }

    def on_post_apply(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Apply a sheet."""
        operator = self._operators.authorise(req, "write")
        body = self._read(req, SheetBody)
        if body.base is None:
            raise RequestError("name the base that the plan was made from")
        manifest = self._administration.apply(
            body.sheet, operator=operator, base=body.base
        )
        resp.media = {"generation": manifest.generation}


class RecallsResource(_AdministrationResource):
    """``/v1/recalls`` and ``/v1/recalls/{recall_id}/lift``."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """List the recalls in force."""
        self._operators.authorise(req, "read")
        recalls = self._administration.list_recalls()
        resp.media = {"recalls": [recall._asdict() for recall in recalls]}

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Add a recall."""
        operator = self._operators.authorise(req, "recall")
        body = self._read(req, RecallBody)
        outcome = self._administration.add_recall(
            body.kind, body.target, operator=operator
        )
        resp.status = 200 if outcome.stored else 202
        resp.media = outcome._asdict()

    def on_post_lift(
        self, req: falcon.Request, resp: falcon.Response, recall_id: str
    ) -> None:
        """Lift a recall."""
        operator = self._operators.authorise(req, "recall")
        self._administration.lift_recall(recall_id, operator=operator)
        resp.media = {"recall_id": recall_id}


class HostResource(_AdministrationResource):
    """``GET /v1/debug/state``, ``GET /v1/status`` and ``POST /v1/drain``."""

    def __init__(
        self,
        *,
        operators: OperatorAccess,
        administration: Administration,
        dump: Callable[[], dict[str, Any]],
        leave: Callable[[], None],
    ) -> None:
        super().__init__(operators=operators, administration=administration)
        self._dump = dump
        self._leave = leave

    def on_get_dump(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the state dump, limited in size."""
        self._operators.authorise(req, "read")
        resp.content_type = falcon.MEDIA_JSON
        resp.data = encode_dump(self._dump())

    def on_get_status(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return a summary of the state of the host and its peers."""
        self._operators.authorise(req, "read")
        state = self._dump()
        resp.media = {
            "host": state["host"]["name"],
            "data_centre": state["host"]["data_centre"],
            "ready": state["ready"],
            "leaving": state["leaving"],
            "generation": state["configuration"]["generation"],
            "recalls": len(state["recalls"]["active"]),
            "hosts": {n: h["state"] for n, h in state["membership"]["hosts"].items()},
            "groups": {n: group["owner"] for n, group in state["routing"].items()},
            "open_requests": state["exchange"]["open_requests"],
        }

    def on_post_drain(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Drain this host: it refuses new requests and ends when idle."""
        self._operators.authorise(req, "write")
        self._leave()
        resp.status = 202
        resp.media = {"state": "leaving"}


def encode_dump(state: dict[str, Any]) -> bytes:
    """Encode a state dump as JSON, limited to about `MAX_DUMP_BYTES`.

    Sections are kept from the smallest to the largest; those that do not fit are
    replaced by their size in bytes.
    """
    parts = {name: msgspec.json.encode(value) for name, value in state.items()}
    kept: dict[str, Any] = {}
    bytes_left = MAX_DUMP_BYTES
    for name, part in sorted(parts.items(), key=lambda item: len(item[1])):
        bytes_left -= len(part)
        kept[name] = (
            msgspec.Raw(part) if bytes_left > 0 else {"left_out_bytes": len(part)}
        )
    return msgspec.json.encode(kept)


def make_operator_app(
    *,
    operators: OperatorAccess,
    administration: Administration,
    dump: Callable[[], dict[str, Any]],
    leave: Callable[[], None],
) -> falcon.App:
    """Return the WSGI application for the operator address."""
    app = falcon.App()
    sheet = SheetResource(operators=operators, administration=administration)
    recalls = RecallsResource(operators=operators, administration=administration)
    host = HostResource(
        operators=operators, administration=administration, dump=dump, leave=leave
    )
    app.add_route("/v1/sheet", sheet)
    app.add_route("/v1/sheet/plan", sheet, suffix="plan")
    app.add_route("/v1/sheet/apply", sheet, suffix="apply")
    app.add_route("/v1/recalls", recalls)
    app.add_route("/v1/recalls/{recall_id}/lift", recalls, suffix="lift")
    app.add_route("/v1/debug/state", host, suffix="dump")
    app.add_route("/v1/status", host, suffix="status")
    app.add_route("/v1/drain", host, suffix="drain")
    app.add_error_handler(RosemarystreamError, answer_error)
    return app
