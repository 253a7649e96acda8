"""Metrics page.

Writes docs/METRICS.md from the sources and the descriptions here, or checks it.
"""

import ast
import sys
from collections.abc import Iterator
from pathlib import Path

import attrs

from tools.pages import ROOT, write_or_check

SOURCES = ROOT / "packages" / "laburnumscale" / "src" / "laburnumscale"
PAGE = ROOT / "docs" / "METRICS.md"
KINDS = {"count": "counter", "record_us": "histogram"}
INTRODUCTION = """# Metrics

Made by `make metrics-page` from the sources; `make check` tells when it is stale.

Each daemon serves them at `/metrics` of its operators' address, and on
`metrics_address`, in the Prometheus text form. A counter `NAME` is
`laburnumscale_NAME_total`; a histogram `NAME` has the quantiles 0.5, 0.9, 0.99 and
0.999 in microseconds as `laburnumscale_NAME_us`.

| metric | kind | module | says |
| --- | --- | --- | --- |
"""

DESCRIPTIONS = {
    "announcements_late": "announcements that were older than what was known",
    "answers_mismatched": "answers of targets that belonged to another request",
    "attempts": "attempts that targets ran, by whether they were bad",
    "attempts_fenced": "attempts that came after they had been settled as not run",
    "call_latency": "time of a call at its entry",
    "calls": "calls at their entry, by service and outcome",
    "comparisons_voided": "targets taken back as most targets were slow",
    "daemon_name_taken": "another process has the name of this daemon; must stay 0",
    "datagram_bytes_received": "bytes of the membership's datagrams",
    "datagram_bytes_sent": "bytes of the membership's datagrams",
    "datagram_errors": "datagrams that the network refused",
    "datagrams_invalid": "datagrams that could not be read",
    "datagrams_misdirected": "probes meant for another daemon",
    "datagrams_received": "datagrams of the membership",
    "datagrams_sent": "datagrams of the membership",
    "datagrams_unaddressed": "datagrams whose receiver has no address that can be used",
    "deaths_doubted": "daemons said to be dead that were asked again first",
    "ejections": "targets left out for failing or slow calls",
    "exchange_bytes_received": "bytes of exchanged tables",
    "exchange_bytes_sent": "bytes of exchanged tables",
    "exchange_failures": "exchanges of tables that failed",
    "exchanges": "exchanges of tables with a peer",
    "join_timeouts": "starts that found no peer in time",
    "key_hand_over_failures": "operation keys that no peer took over in a drain",
    "keyed_calls_passed_on": "calls with a key that another daemon leads",
    "log_append_failures": "appends to the log without an answer",
    "log_read_failures": "reads of the log without an answer that could be used",
    "log_reads": "reads of the log, by stream",
    "loop_pauses": "times at which this process stood still",
    "members_declared_dead": "daemons that did not refute a suspicion",
    "members_suspected": "daemons that did not answer a probe",
    "membership_part_failures": "parts of the membership that ended; must stay 0",
    "operation_keys_adopted": "keys taken over from a daemon that drained",
    "operation_keys_minted": "keys given to callers",
    "operation_keys_repeated": "calls whose key was known already",
    "path_checks": "questions to a guard whose reply was late",
    "paths_broken": "paths to a guard given up until it answers again",
    "presence_failures": "presence records that could not be read or written",
    "presence_reads": "reads of presence records",
    "presence_records": "presence records written",
    "presence_records_invalid": "presence records that were passed over",
    "probe_nacks": "failed probes that a third daemon could not make either",
    "probes": "health checks of ejected targets",
    "probes_failed": "probes of daemons without an answer",
    "probes_indirect": "probes of daemons by way of others",
    "refused_ejected": "attempts refused as their target is ejected",
    "requests_refused": "requests that were no proper calls",
    "retries": "attempts beyond the first that the budget allowed",
    "retries_over_budget": "attempts beyond the first that the budget did not allow",
    "settings_changes": "changes by operators, by verdict",
    "settings_digest_mismatches": "two daemons have folded unlike; must stay 0",
    "settings_fetch_failures": "settings that a peer did not give",
    "settings_fetches": "settings asked of a peer",
    "settings_log_behind": "the log has lost records that daemons hold",
    "settings_push_failures": "settings that a peer did not take",
    "settings_pushes": "settings sent to a peer",
    "settings_records_invalid": "settings in the log that were passed over",
    "settings_restarts": "readings of the settings from a snapshot on",
    "settings_snapshots_invalid": "snapshots that could not be used",
    "settings_snapshots_missing": "records that the log dropped and no snapshot holds",
    "settings_snapshots_written": "snapshots written to the log",
    "settle_questions": "questions to a guard about an attempt whose reply was lost",
    "suspicions_refuted": "suspicions of this daemon that it has refuted",
    "targets_gone": "targets whose announcement lapsed for long",
    "targets_lapsed": "targets whose announcement lapsed",
    "targets_moved": "targets that announced themselves later beside another daemon",
    "targets_returned": "lapsed targets that announced themselves again",
    "targets_taken_over": "targets that had announced themselves elsewhere before",
    "trials_failed": "ejected targets that failed their trial call",
}


@attrs.frozen
class Use:
    """One place in the sources that counts or records.

    :ivar names: constants that its first argument may have.
    """

    kind: str
    module: str
    names: tuple[str, ...]


def find_uses(sources: Path = SOURCES) -> Iterator[Use]:
    """Yield the places that count or record."""
    for path in sorted(sources.glob("*.py")):
        tree = ast.parse(path.read_text())
        for node in ast.walk(tree):
            if _is_use(node):
                names = _constants(node.args[0], tree)
                yield Use(KINDS[node.func.attr], path.stem, names)


def _is_use(node: ast.AST) -> bool:
    return (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr in KINDS
        and "metrics" in ast.unparse(node.func.value)
    )


def _constants(argument: ast.expr, tree: ast.Module) -> tuple[str, ...]:
    """Return the strings that an argument, or the variable in it, may be."""
    if isinstance(argument, ast.Name):
        values = [
            node.value
            for node in ast.walk(tree)
            if isinstance(node, ast.Assign)
            and ast.unparse(node.targets[0]) == argument.id
        ]
    else:
        values = [argument]
    return tuple(
        node.value
        for value in values
        for node in _results(value)
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    )


def _results(value: ast.expr) -> tuple[ast.expr, ...]:
    if isinstance(value, ast.IfExp):
        return value.body, value.orelse
    return (value,)


def find_undescribed(uses: list[Use]) -> set[str]:
    """Return the metrics without a description, and descriptions without a metric."""
    names = {name for use in uses for name in use.names}
    return names ^ set(DESCRIPTIONS)


def page() -> str:
    """Return the text of the page; exits if a metric has no description."""
    uses = list(find_uses())
    undescribed = find_undescribed(uses)
    if undescribed:
        sys.exit(f"metrics_page: not described, or not there: {sorted(undescribed)}")
    rows: dict[str, tuple[str, set[str]]] = {}
    for use in uses:
        for name in use.names:
            _, modules = rows.setdefault(name, (use.kind, set()))
            modules.add(f"`{use.module}`")
    lines = [
        f"| `{name}` | {kind} | {', '.join(sorted(modules))} | {DESCRIPTIONS[name]} |"
        for name, (kind, modules) in sorted(rows.items())
    ]
    return INTRODUCTION + "\n".join(lines) + "\n"


def main() -> None:
    """Run the command line."""
    write_or_check(__doc__, PAGE, page, "metrics-page")


if __name__ == "__main__":
    main()
