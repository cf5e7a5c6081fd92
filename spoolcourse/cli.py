"""The command line."""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import sys
from pathlib import Path
from typing import Any

from spoolcourse import __version__
from spoolcourse.errors import UserError
from spoolcourse.policy.keys import PolicySource, load_policy
from spoolcourse.wire import paths
from spoolcourse.wire.settings import Settings, load_settings, split_address
from spoolcourse.wire.standby_settings import StandbySettings, load_standby

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _seconds(text: str) -> float:
    value = float(text)
    if not 0 < value <= 3600:
        raise argparse.ArgumentTypeError("must be above 0, and 3600 at most")
    return value


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="spoolcourse",
        description="A cluster scheduler: controllers, and their users' commands.",
    )
    parser.add_argument("--version", action="version", version=f"spoolcourse {__version__}")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")

    serve = commands.add_parser("serve", help="run one controller until it is ended")
    serve.add_argument("--config", required=True, metavar="FILE", help="settings file (JSON)")

    check = commands.add_parser("check", help="check a settings file without running")
    check.add_argument("--config", required=True, metavar="FILE", help="settings file (JSON)")

    for command in (serve, check):
        command.add_argument("--policy", metavar="FILE", help="operators' policy (TOML)")
        command.add_argument("--standby", metavar="FILE", help="warm standby (TOML)")

    submit = commands.add_parser("submit", help="submit a job")
    submit.add_argument("file", metavar="FILE", help="the job as JSON; - for standard input")
    status = commands.add_parser("status", help="show a job's state")
    status.add_argument("job", metavar="JOB")
    cancel = commands.add_parser("cancel", help="cancel a job")
    cancel.add_argument("job", metavar="JOB")
    view = commands.add_parser("view", help="show what waits on the leader, and why")
    handover = commands.add_parser(
        "handover", help="have the leader step down to a standby that is caught up"
    )
    for command in (submit, status, cancel, view, handover):
        where = "its own address" if command in (view, handover) else "its users' address"
        command.add_argument(
            "--node", required=True, metavar="HOST:PORT", help=f"a controller, {where}"
        )
        command.add_argument(
            "--timeout", type=_seconds, default=5.0, metavar="S", help="wait so long for the answer"
        )
    return parser


def _log_setup() -> None:
    name = os.environ.get("LOG_LEVEL", "info")
    if name not in LEVELS:
        raise UserError(f"LOG_LEVEL: {name!r} is not one of {', '.join(LEVELS)}")
    logging.basicConfig(
        stream=sys.stderr,
        level=LEVELS[name],
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
    )
    for noisy in ("asyncio", "aiohttp.server", "aiohttp.client"):
        logging.getLogger(noisy).setLevel(max(logging.WARNING, LEVELS[name]))


async def _serve(settings: Settings, policy: PolicySource, standby: StandbySettings) -> None:
    from spoolcourse.control.controller import Controller
    from spoolcourse.control.http_client import AiohttpClient
    from spoolcourse.control.http_server import listen

    controller = Controller(settings, AiohttpClient(), policy, standby=standby)
    for field, handler in (
        ("cluster_listen", controller.peers),
        ("listen", controller.public),
    ):
        address = getattr(settings, field)
        try:
            sockets = settings.settings.machine_limits.sockets
            await listen(split_address(address, field), handler, sockets=sockets)
        except OSError as exc:
            raise UserError(f"{field}: cannot listen on {address}: {exc.strerror}") from exc
    logging.getLogger(__name__).info("%s serves on %s", settings.label, settings.listen)
    await controller.run()


async def _call(
    node: str, method: str, path: str, body: Any, timeout: float, indent: bool = False
) -> int:
    from spoolcourse.control.http_client import AiohttpClient, NoResponseError

    net = AiohttpClient()
    try:
        reply = await net.call(node, method, path, body, timeout=timeout)
    except NoResponseError as exc:
        raise UserError(str(exc)) from exc
    finally:
        await net.close()
    if reply.status in (200, 201):
        import orjson

        print(orjson.dumps(reply.data, option=orjson.OPT_INDENT_2 if indent else 0).decode())
        return 0
    error = reply.data.get("error") if isinstance(reply.data, dict) else None
    raise UserError(f"{node} answered {reply.status}: {error or 'no reason given'}")


def _read_job(path: str) -> bytes:
    try:
        return sys.stdin.buffer.read() if path == "-" else Path(path).read_bytes()
    except OSError as exc:
        raise UserError(f"{path}: cannot be read: {exc.strerror}") from exc


def _run(args: argparse.Namespace) -> int:
    if args.command == "check":
        settings = load_settings(args.config)
        load_policy(args.policy)
        load_standby(args.standby)
        print(f"{args.config}: ok: {settings.label}, {len(settings.seeds)} peers")
        return 0
    if args.command == "serve":
        _log_setup()
        settings, policy = load_settings(args.config), load_policy(args.policy)
        asyncio.run(_serve(settings, policy, load_standby(args.standby)))
        return 0
    split_address(args.node, "--node")
    if args.command == "submit":
        raw = _read_job(args.file)
        return asyncio.run(_call(args.node, "POST", paths.SUBMISSIONS, raw, args.timeout))
    if args.command == "view":
        return asyncio.run(_call(args.node, "GET", paths.STATUS, None, args.timeout, indent=True))
    if args.command == "handover":
        return asyncio.run(_call(args.node, "POST", paths.HANDOVER, None, args.timeout))
    from spoolcourse.wire.messages import JOB_ID

    if not JOB_ID.fullmatch(args.job):
        raise UserError(f"{args.job!r} is not a job id like job-000412")
    path = f"{paths.SUBMISSIONS}/{args.job}"
    if args.command == "status":
        return asyncio.run(_call(args.node, "GET", path, None, args.timeout))
    return asyncio.run(_call(args.node, "POST", f"{path}/{paths.CANCEL}", None, args.timeout))


def main(argv: list[str] | None = None) -> int:
    """Run a command; the exit code."""
    args = _parser().parse_args(argv)
    try:
        return _run(args)
    except UserError as exc:
        for line in str(exc).splitlines():
            print(f"spoolcourse: {line}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130
