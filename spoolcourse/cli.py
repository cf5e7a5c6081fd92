"""The command line: runs a controller, and sends the requests of users and operators.

Each command imports the modules that it needs, to keep the start-up time short.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from spoolcourse import __version__
from spoolcourse.errors import UserError
from spoolcourse.policy.keys import CompiledPolicy, load_policy
from spoolcourse.wire import paths
from spoolcourse.wire.settings import Settings, load_settings, split_address
from spoolcourse.wire.standby_settings import StandbySettings, load_standby

if TYPE_CHECKING:
    _Commands = argparse._SubParsersAction[argparse.ArgumentParser]  # noqa: SLF001 - it has no public name

DEFAULT_TIMEOUT_S = 5.0
LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


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
    _add_local_commands(commands)
    _add_remote_commands(commands)
    return parser


def _add_local_commands(commands: _Commands) -> None:
    """Add the commands that read a settings file."""
    for name, run, help_text in (
        ("serve", _run_serve, "run one controller until it is stopped"),
        ("check", _run_check, "check a settings file without running"),
    ):
        command = commands.add_parser(name, help=help_text)
        command.set_defaults(run=run)
        command.add_argument("--config", required=True, metavar="FILE", help="settings file (JSON)")
        command.add_argument("--policy", metavar="FILE", help="operators' policy (TOML)")
        command.add_argument("--standby", metavar="FILE", help="warm standby (TOML)")


def _add_remote_commands(commands: _Commands) -> None:
    """Add the commands that send a request to a controller."""
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
    for command, run, address in (
        (submit, _run_submit, "public address"),
        (status, _run_status, "public address"),
        (cancel, _run_cancel, "public address"),
        (view, _run_view, "peer address"),
        (handover, _run_handover, "peer address"),
    ):
        command.set_defaults(run=run)
        command.add_argument(
            "--node",
            required=True,
            metavar="HOST:PORT",
            help=f"a controller's {address}",
        )
        command.add_argument(
            "--timeout",
            type=_seconds,
            default=DEFAULT_TIMEOUT_S,
            metavar="S",
            help="seconds to wait for the response",
        )


def _configure_logging() -> None:
    name = os.environ.get("LOG_LEVEL", "info")
    if name not in LOG_LEVELS:
        raise UserError(f"LOG_LEVEL: {name!r} is not one of {', '.join(LOG_LEVELS)}")
    logging.basicConfig(
        stream=sys.stderr,
        level=LOG_LEVELS[name],
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
    )
    for logger_name in ("asyncio", "aiohttp.server", "aiohttp.client"):
        logging.getLogger(logger_name).setLevel(max(logging.WARNING, LOG_LEVELS[name]))


async def _serve(settings: Settings, policy: CompiledPolicy, standby: StandbySettings) -> None:
    from spoolcourse.control.controller import Controller
    from spoolcourse.control.http_client import AiohttpClient
    from spoolcourse.control.http_server import listen

    controller = Controller(settings, AiohttpClient(), policy, standby=standby)
    for field, handler in (
        ("cluster_listen", controller.cluster_handler),
        ("listen", controller.public_handler),
    ):
        address = getattr(settings, field)
        try:
            max_sockets = settings.settings.machine_limits.sockets
            await listen(split_address(address, field), handler, max_sockets=max_sockets)
        except OSError as exc:
            raise UserError(f"{field}: cannot listen on {address}: {exc.strerror}") from exc
    logging.getLogger(__name__).info(
        "serving: controller=%s address=%s", settings.label, settings.listen
    )
    await controller.run()


async def _send_request(
    args: argparse.Namespace, method: str, path: str, body: bytes | None, indent: bool
) -> int:
    from spoolcourse.control.http_client import AiohttpClient, NoResponseError

    http_client = AiohttpClient()
    try:
        response = await http_client.call(args.node, method, path, body, timeout_s=args.timeout)
    except NoResponseError as exc:
        raise UserError(str(exc)) from exc
    finally:
        await http_client.close()
    if response.status in (200, 201):
        import orjson

        print(orjson.dumps(response.data, option=orjson.OPT_INDENT_2 if indent else 0).decode())
        return 0
    error = response.data.get("error") if isinstance(response.data, dict) else None
    raise UserError(f"{args.node} answered {response.status}: {error or 'no reason given'}")


def _run_request(
    args: argparse.Namespace,
    method: str,
    path: str,
    body: bytes | None = None,
    indent: bool = False,
) -> int:
    """Send the request, print the response and return the exit code."""
    return asyncio.run(_send_request(args, method, path, body, indent))


def _read_job(path: str) -> bytes:
    try:
        return sys.stdin.buffer.read() if path == "-" else Path(path).read_bytes()
    except OSError as exc:
        raise UserError(f"{path}: cannot be read: {exc.strerror}") from exc


def _job_path(args: argparse.Namespace) -> str:
    from spoolcourse.wire.messages import JOB_ID

    if not JOB_ID.fullmatch(args.job):
        raise UserError(f"{args.job!r} is not a job id like job-000412")
    return f"{paths.SUBMISSIONS}/{args.job}"


# -- commands: each returns the exit code -------------------------------------------------


def _run_check(args: argparse.Namespace) -> int:
    settings = load_settings(args.config)
    load_policy(args.policy)
    load_standby(args.standby)
    print(f"{args.config}: ok: {settings.label}, {len(settings.seeds)} peers")
    return 0


def _run_serve(args: argparse.Namespace) -> int:
    _configure_logging()
    settings, policy = load_settings(args.config), load_policy(args.policy)
    asyncio.run(_serve(settings, policy, load_standby(args.standby)))
    return 0


def _run_submit(args: argparse.Namespace) -> int:
    return _run_request(args, "POST", paths.SUBMISSIONS, _read_job(args.file))


def _run_status(args: argparse.Namespace) -> int:
    return _run_request(args, "GET", _job_path(args))


def _run_cancel(args: argparse.Namespace) -> int:
    return _run_request(args, "POST", f"{_job_path(args)}/{paths.CANCEL}")


def _run_view(args: argparse.Namespace) -> int:
    return _run_request(args, "GET", paths.STATUS, indent=True)


def _run_handover(args: argparse.Namespace) -> int:
    return _run_request(args, "POST", paths.HANDOVER)


def main(argv: list[str] | None = None) -> int:
    """Run a command and return its exit code."""
    args = _parser().parse_args(argv)
    try:
        if "node" in args:
            split_address(args.node, "--node")
        exit_code: int = args.run(args)
    except UserError as exc:
        for line in str(exc).splitlines():
            print(f"spoolcourse: {line}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130
    return exit_code
