"""Command line for operators.

Parses the arguments, runs the command and maps errors to exit codes.
"""

import argparse
import fileinput
import getpass
import json
import sys

from laburnumscale.errors import LaburnumscaleError
from laburnumscalectl.accounts import show_accounts
from laburnumscalectl.changes import publish, remove, settle
from laburnumscalectl.check import check
from laburnumscalectl.client import DaemonUnreachable, OperatorClient
from laburnumscalectl.logfiles import parse_log_lines
from laburnumscalectl.quarantine import release, show_quarantine
from laburnumscalectl.tracing import trace_request
from laburnumscalectl.views import explain, history, show, status

__all__ = ["main"]

DEFAULT_ACCOUNTS = 100
EXIT_INVALID = 2
EXIT_UNREACHABLE = 4

EXAMPLES = """examples:
  laburnumscalectl --daemon 127.0.0.1:7002 publish examples/bantayog/services.jsonc
  laburnumscalectl --daemon 127.0.0.1:7002 publish --based-on 17 services.jsonc
  laburnumscalectl check examples/bantayog/services.jsonc
  laburnumscalectl --daemon 127.0.0.1:7002 check --platform NAME document.json
  laburnumscalectl --daemon 127.0.0.1:7002 remove endpoint:slot-desk/e3
  laburnumscalectl --daemon 127.0.0.1:7002 show service:slot-desk
  laburnumscalectl --daemon 127.0.0.1:7002 explain endpoint:slot-desk/e3
  laburnumscalectl --daemon 127.0.0.1:7002 --json history --limit 20
  laburnumscalectl --daemon 127.0.0.1:7002 settle 5b1f0c9e
  laburnumscalectl --daemon 127.0.0.1:7002 status
  laburnumscalectl --daemon 127.0.0.1:7002 drain slot-desk e3
  laburnumscalectl --daemon 127.0.0.1:7002 accounts
  laburnumscalectl --daemon 127.0.0.1:7002 accounts --find-key < key.txt
  laburnumscalectl --daemon 127.0.0.1:7002 quarantine
  laburnumscalectl --daemon 127.0.0.1:7002 release 6f1d0a52c47be8093bd9a1e25c07f468
  laburnumscalectl trace 9c41d07be2a35f68 d1.log d2.log d3.log

exit codes:
  0 done   1 refused   2 invalid input   3 undetermined   4 no answer
  of check: 0 no errors or warnings   1 findings   2 unreadable file   4 no answer
"""
PUBLISH_EXAMPLES = """examples:
  publish services.jsonc                                 based on the current tree
  publish --based-on 17 services.jsonc                   refused where a place was set
                                                         after revision 17
  publish --based-on service:slot-desk=9 services.jsonc  the same for one place
  publish --dry-run services.jsonc                       checks without publishing

A place whose value is null is removed. Places that do not differ from the current
tree are left out of the change.
"""
SETTLE_EXAMPLES = """examples:
  settle 5b1f0c9e            reads the log to its end and prints the verdict
  settle --cancel 5b1f0c9e   also cancels the change if it is not in the log
"""


def drain(options: argparse.Namespace, client: OperatorClient) -> int:
    """Drain a target on the host of the daemon."""
    client.drain(options.service, options.endpoint)
    return 0


def trace(options: argparse.Namespace, client: OperatorClient) -> int:
    """Show how a request was handled, from the logs of daemons."""
    with fileinput.input(
        options.file, encoding="utf-8", errors="replace"
    ) as text_lines:
        request_trace = trace_request(options.request_id, parse_log_lines(text_lines))
    if options.json:
        print(json.dumps(request_trace.as_dict(), indent=2))
    else:
        print("\n".join(request_trace.as_text()))
    return 0


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="laburnumscalectl",
        description="Manage a fleet through any of its daemons.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--daemon", default="", help="operator address of a daemon, IP:PORT"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    commands = parser.add_subparsers(dest="command", required=True)
    _add_change_commands(commands)
    _add_view_commands(commands)
    command = _add_command(
        commands, "drain", drain, "drain a target on the daemon's host"
    )
    command.add_argument("service")
    command.add_argument("endpoint")
    _add_quarantine_commands(commands)
    command = _add_command(commands, "trace", trace, "show how a request was handled")
    command.set_defaults(needs_daemon=False)
    command.add_argument(
        "request_id", help="request id, as in the request or in its response"
    )
    command.add_argument(
        "file", nargs="*", help="log files of daemons; by default standard input"
    )
    return parser


def _add_command(commands, name: str, run, help_text: str, epilog: str = ""):
    command = commands.add_parser(
        name,
        help=help_text,
        description=run.__doc__,
        epilog=epilog,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    command.add_argument(
        "--json", action="store_true", default=argparse.SUPPRESS, help="print JSON"
    )
    command.set_defaults(run=run, needs_daemon=True)
    return command


def _add_change_commands(commands) -> None:
    command = _add_command(
        commands, "publish", publish, "publish a settings file", PUBLISH_EXAMPLES
    )
    command.add_argument("file", help="settings file, JSON with comments")
    _add_change_options(command)
    command = _add_command(
        commands, "check", check, "check a settings file or a document of a platform"
    )
    command.set_defaults(needs_daemon=False)
    command.add_argument("file", help="settings file, or JSON with --platform")
    command.add_argument(
        "--platform", default="", help="package of the platform whose document it is"
    )
    command = _add_command(commands, "remove", remove, "remove places from the tree")
    command.add_argument("place", nargs="+", help="such as service:slot-desk@makati")
    _add_change_options(command)
    command = _add_command(
        commands, "settle", settle, "show the outcome of a change", SETTLE_EXAMPLES
    )
    command.add_argument("change", help="change id")
    command.add_argument(
        "--cancel",
        action="store_true",
        help="cancel it for good if it is not in the log",
    )
    _add_author(command)


def _add_quarantine_commands(commands) -> None:
    _add_command(
        commands,
        "quarantine",
        show_quarantine,
        "show the calls under which targets ended",
    )
    command = _add_command(commands, "release", release, "release refused calls")
    selection = command.add_mutually_exclusive_group(required=True)
    selection.add_argument(
        "fingerprint", nargs="*", default=[], help="as shown by quarantine"
    )
    selection.add_argument(
        "--all", action="store_true", help="all that the daemon knows of"
    )


def _add_change_options(command: argparse.ArgumentParser) -> None:
    _add_author(command)
    command.add_argument(
        "--based-on",
        action="append",
        default=[],
        metavar="[PLACE=]REVISION",
        help="refuse the change if a place was set after this revision; by default"
        " the current revisions of the daemon; may be repeated",
    )
    command.add_argument(
        "--dry-run",
        action="store_true",
        help="check and show the change without publishing",
    )


def _add_author(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        "--author", default=getpass.getuser(), help="author of the change"
    )


def _add_view_commands(commands) -> None:
    command = _add_command(commands, "show", show, "show the settings tree")
    command.add_argument("place", nargs="?", help="only this place")
    command = _add_command(
        commands, "explain", explain, "show where each setting is set"
    )
    command.add_argument("place", help="such as endpoint:slot-desk/e3")
    command.add_argument(
        "--data-centre",
        default="",
        help="of the service or endpoint; by default that of the announced endpoint",
    )
    command = _add_command(commands, "history", history, "show the audit trail")
    command.add_argument("--place", default="", help="only changes of this place")
    command.add_argument("--limit", type=int, default=0, help="only the last changes")
    _add_command(commands, "status", status, "show daemons and endpoints")
    command = _add_command(
        commands, "accounts", show_accounts, "show the client accounts"
    )
    selection = command.add_mutually_exclusive_group()
    selection.add_argument("name", nargs="?", help="only this account")
    selection.add_argument(
        "--find-key",
        action="store_true",
        help="the account of the key on standard input",
    )
    command.add_argument("--offset", type=int, default=0, help="accounts to leave out")
    command.add_argument(
        "--limit", type=int, default=DEFAULT_ACCOUNTS, help="at most 1000"
    )


def main() -> None:
    """Parse the arguments, run the command and exit with its code."""
    parser = _build_parser()
    options = parser.parse_args()
    if options.needs_daemon and not options.daemon:
        parser.error("--daemon is required by this command")
    try:
        sys.exit(options.run(options, OperatorClient(options.daemon)))
    except DaemonUnreachable as error:
        print(f"laburnumscalectl: {error}", file=sys.stderr)
        sys.exit(EXIT_UNREACHABLE)
    except (LaburnumscaleError, OSError) as error:
        print(f"laburnumscalectl: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID)
